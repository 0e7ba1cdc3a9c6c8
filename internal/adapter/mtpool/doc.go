// Package mtpool is the pool of HTTP connections to endpoints.
package mtpool
