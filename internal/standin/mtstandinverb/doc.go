// Package mtstandinverb holds the verbs of the stand-in program.
package mtstandinverb
