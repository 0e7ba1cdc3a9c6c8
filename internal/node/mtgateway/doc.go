// Package mtgateway assembles an entry instance that serves plain HTTP requests by host and path prefix.
package mtgateway
