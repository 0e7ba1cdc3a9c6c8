// Package mtreplication decides when an entry instance reads the feeds of the platform's store, and tracks the age of its
// data.
package mtreplication
