// Package mtclock notices steps of the time of day, which an operator or a time service makes while a process runs.
package mtclock
