// Package mtoperator is the client of an entry instance's operator service: it loads bundles of records, publishes them
// and compares them with the versions in force.
package mtoperator
