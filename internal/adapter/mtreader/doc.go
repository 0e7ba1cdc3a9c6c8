// Package mtreader parses the HTTP requests of callers into calls and authorizes them.
package mtreader
