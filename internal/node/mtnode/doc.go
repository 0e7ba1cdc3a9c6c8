// Package mtnode assembles an entry instance from its tables and adapters, and runs it.
package mtnode
