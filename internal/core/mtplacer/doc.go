// Package mtplacer decides which requests of a service wait, which are refused, and which endpoint gets each.
package mtplacer
