// Package mtrecord derives the keys of records and checks their contents.
package mtrecord
