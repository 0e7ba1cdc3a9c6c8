// Package mtverdict judges a run against the promises.
package mtverdict
