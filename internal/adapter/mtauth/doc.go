// Package mtauth checks the bearer tokens of requests.
package mtauth
