// Package mtwindow counts events in a sliding window of time.
package mtwindow
