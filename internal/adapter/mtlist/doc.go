// Package mtlist reads the platform's instance list.
package mtlist
