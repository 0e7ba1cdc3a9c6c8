// Package mtclock detects steps of the wall clock, which an operator or a time service makes while the process runs.
package mtclock
