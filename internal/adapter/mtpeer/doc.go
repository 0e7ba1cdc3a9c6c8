// Package mtpeer serves the requests of other entry instances.
package mtpeer
