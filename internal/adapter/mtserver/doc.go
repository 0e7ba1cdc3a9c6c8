// Package mtserver listens for HTTP/1.1 and HTTP/2, with or without TLS.
package mtserver
