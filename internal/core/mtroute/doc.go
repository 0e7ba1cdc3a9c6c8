// Package mtroute selects the route of a request by its host and the longest prefix of its path.
package mtroute
