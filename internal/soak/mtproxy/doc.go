// Package mtproxy passes TCP connections on and injects the faults of a network.
package mtproxy
