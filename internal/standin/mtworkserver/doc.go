// Package mtworkserver is a stand-in for an endpoint with slots, load reports and faults.
package mtworkserver
