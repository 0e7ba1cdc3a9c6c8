// Package mtreplica provides the local replica of the configuration log, and the rules in force that follow from it.
package mtreplica
