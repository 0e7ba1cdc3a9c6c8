// Package mtoperator is the operator's side of publishing changes.
package mtoperator
