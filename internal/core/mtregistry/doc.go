// Package mtregistry keeps the endpoints that have registered themselves in the platform's store.
package mtregistry
