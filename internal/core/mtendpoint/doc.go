// Package mtendpoint estimates the load and the health of one endpoint from its answers and its delayed load reports.
package mtendpoint
