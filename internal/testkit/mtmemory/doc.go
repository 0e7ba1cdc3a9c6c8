// Package mtmemory is a network in memory for tests in virtual time, where sockets can't be used.
package mtmemory
