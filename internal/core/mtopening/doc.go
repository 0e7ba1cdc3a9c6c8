// Package mtopening decides when an instance that has started knows enough of the others to take a role among them.
package mtopening
