// Package mtpool keeps the connections to endpoints.
package mtpool
