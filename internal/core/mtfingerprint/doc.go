// Package mtfingerprint identifies equal requests.
package mtfingerprint
