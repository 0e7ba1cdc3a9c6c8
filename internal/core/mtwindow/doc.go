// Package mtwindow holds a budget over a sliding window of time.
package mtwindow
