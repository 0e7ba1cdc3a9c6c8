// Package mtattempt tracks the state of one attempt to run a call.
package mtattempt
