// Package mtreader reads a call from an HTTP request.
package mtreader
