// Package mtfeed follows the configuration stream of the platform's log and appends snapshots to it.
package mtfeed
