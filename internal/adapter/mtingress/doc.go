// Package mtingress reads HTTP/1.1 requests from the connections of callers and writes the responses in order.
package mtingress
