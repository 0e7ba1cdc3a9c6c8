// Package mtwriter writes answers and refusals to callers.
package mtwriter
