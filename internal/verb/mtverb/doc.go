// Package mtverb holds the subcommands of the mangotack program, which its help calls verbs, one per file.
//
// To add a verb, write a file with a function that returns its command, and add the function to verbs in verbs.go.
package mtverb
