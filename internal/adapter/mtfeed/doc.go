// Package mtfeed reads the platform's log and appends to it.
package mtfeed
