// Package mtresolver serves the ResolveService, which returns the entry instances that a caller can use for a service.
package mtresolver
