// Package mtresponseguard checks the responses that net/http reads: their heads, and whether a body that ends with its
// connection is complete.
package mtresponseguard
