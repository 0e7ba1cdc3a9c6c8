// Package mtanswer holds the answer of an endpoint while it is copied to the caller.
package mtanswer
