// Package mtfakeendpoint is a stand-in for an endpoint, with slots, load reports and injectable faults.
package mtfakeendpoint
