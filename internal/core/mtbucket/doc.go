// Package mtbucket admits calls at a rate and up to a concurrency.
package mtbucket
