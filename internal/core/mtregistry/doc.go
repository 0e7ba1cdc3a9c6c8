// Package mtregistry keeps the endpoints that have registered in the platform's store, and which of them drain.
package mtregistry
