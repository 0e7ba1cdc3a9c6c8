// Package mtonce keeps the keys of calls that run at most once.
package mtonce
