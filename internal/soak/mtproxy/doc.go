// Package mtproxy forwards TCP connections and injects network faults.
package mtproxy
