// Package mttally counts the results of calls as their callers see them.
package mttally
