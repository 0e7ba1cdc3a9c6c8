// Package mtlogclient speaks to the platform's log.
package mtlogclient
