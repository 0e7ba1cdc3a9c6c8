// Package mtheader copies the HTTP headers that go from end to end.
package mtheader
