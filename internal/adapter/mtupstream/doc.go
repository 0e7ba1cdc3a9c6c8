// Package mtupstream sends HTTP/1.1 requests to endpoints over pooled connections and probes their load.
package mtupstream
