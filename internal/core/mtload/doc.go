// Package mtload reads the load reports that endpoints send with their answers.
package mtload
