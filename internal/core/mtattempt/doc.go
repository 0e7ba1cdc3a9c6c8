// Package mtattempt holds the state of one attempt to run a call.
package mtattempt
