// Package mtdifference expresses a record as pieces of an earlier version of it.
package mtdifference
