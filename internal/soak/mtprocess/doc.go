// Package mtprocess runs gateways as child processes and sends them signals; it signals no other processes.
package mtprocess
