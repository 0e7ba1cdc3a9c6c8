// Package mtrecord returns the keys of records and validates their contents.
package mtrecord
