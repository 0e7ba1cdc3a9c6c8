// Package mtfinding defines the findings of a document check, which reports all faults of a document together.
package mtfinding
