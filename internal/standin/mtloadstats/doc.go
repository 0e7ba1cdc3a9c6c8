// Package mtloadstats counts the results of calls as their callers see them.
package mtloadstats
