// Package mtevent holds the numbered events that the programs log.
package mtevent
