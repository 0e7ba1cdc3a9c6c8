// Package mthangup receives SIGHUP from the earliest possible moment of a gateway's process.
package mthangup
