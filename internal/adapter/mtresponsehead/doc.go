// Package mtresponsehead reads the heads of HTTP/1.1 responses and rejects those that the protocol does not allow.
package mtresponsehead
