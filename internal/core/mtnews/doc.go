// Package mtnews decides when an entry instance reads the platform's store itself, and how old its news are.
package mtnews
