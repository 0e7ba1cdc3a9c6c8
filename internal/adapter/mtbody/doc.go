// Package mtbody buffers the request body of a call so that a retry or a hedge can send it again.
package mtbody
