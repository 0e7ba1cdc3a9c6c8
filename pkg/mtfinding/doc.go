// Package mtfinding holds what a check of a document has found, so that all findings can be reported together.
package mtfinding
