// Package mttally counts what callers were told.
package mttally
