// Package mtlogclient appends to the platform's log and reads it.
package mtlogclient
