// Package mtendpoint estimates the load and the health of one endpoint from reports that are always late.
package mtendpoint
