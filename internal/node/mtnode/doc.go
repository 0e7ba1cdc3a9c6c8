// Package mtnode assembles an entry instance from its tables and adapters.
package mtnode
