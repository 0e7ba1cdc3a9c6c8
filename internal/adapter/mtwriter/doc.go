// Package mtwriter writes the responses of endpoints, and refusals, to callers.
package mtwriter
