// Package mtevent declares the numbered events that the programs log.
package mtevent
