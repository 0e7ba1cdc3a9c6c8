// Package mtrefusal describes why an entry instance answers a call itself.
package mtrefusal
