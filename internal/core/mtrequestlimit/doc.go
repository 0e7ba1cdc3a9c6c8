// Package mtrequestlimit bounds the requests that one instance sends to an endpoint which limits the requests of all
// instances together.
package mtrequestlimit
