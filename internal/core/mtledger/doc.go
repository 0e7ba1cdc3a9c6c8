// Package mtledger folds the records of the platform's log into the present version of each key.
package mtledger
