// Package mtfaultproxy forwards TCP connections and injects network faults.
package mtfaultproxy
