// Package mtstate holds the ledger of an entry instance and the rules in force that follow from it.
package mtstate
