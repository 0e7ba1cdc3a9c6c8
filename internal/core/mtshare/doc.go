// Package mtshare splits a limit over the entry instances by their demand.
package mtshare
