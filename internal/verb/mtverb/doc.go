// Package mtverb holds the verbs of the mangotack program, one file a verb.
//
// To add a verb, write its file with a function that returns its command, and add a line to the table in table.go.
package mtverb
