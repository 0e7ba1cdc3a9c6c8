// Package mtmemory divides the memory of a process and decides which callers may hold how much of it.
package mtmemory
