// Package mtrouter shares the dispatchers of all services between the goroutines of calls.
package mtrouter
