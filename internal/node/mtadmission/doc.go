// Package mtadmission admits calls within the limits of contracts.
package mtadmission
