// Package mtstandinverb provides the subcommands of mangotack-standin.
package mtstandinverb
