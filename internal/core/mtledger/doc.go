// Package mtledger computes the current version of each key from the records of the platform's log.
package mtledger
