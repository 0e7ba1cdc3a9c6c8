// Package mtmemorynetwork provides an in-memory network for tests that run in virtual time, where sockets can't be used.
package mtmemorynetwork
