// Package mtheader copies the end-to-end headers of HTTP messages.
package mtheader
