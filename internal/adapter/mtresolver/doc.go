// Package mtresolver tells callers which entry instances to use.
package mtresolver
