// Package mtpeer serves the questions of other entry instances.
package mtpeer
