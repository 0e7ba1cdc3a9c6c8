// Package mtlogsink writes log lines without blocking the goroutine that logs.
package mtlogsink
