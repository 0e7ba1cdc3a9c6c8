// Package mtcall describes a call that an entry instance handles, and the headers that belong to it.
package mtcall
