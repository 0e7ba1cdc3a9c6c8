// Package mtrouter assigns calls to endpoints: it queues the calls of each service until an endpoint has a free slot.
package mtrouter
