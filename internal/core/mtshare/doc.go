// Package mtshare splits a limit of rate or concurrency over the entry instances by their demand.
package mtshare
