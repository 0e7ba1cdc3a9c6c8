// Package mtraw plays endpoints that break the rules of HTTP.
package mtraw
