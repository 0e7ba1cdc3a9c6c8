// Package mtticket reads and writes the tickets that bind the keys of calls to one incarnation of one entry instance.
package mtticket
