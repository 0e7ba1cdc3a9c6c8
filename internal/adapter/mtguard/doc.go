// Package mtguard decides whether the key of a call may be dispatched here.
package mtguard
