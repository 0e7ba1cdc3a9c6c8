// Package mtkeys shares the table of keys of one incarnation between goroutines.
package mtkeys
