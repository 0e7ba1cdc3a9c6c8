// Package mtrefusal describes why an entry instance answers a call itself instead of an endpoint.
package mtrefusal
