// Package mtcall describes one call on its way through an entry instance.
package mtcall
