// Package mtmeter counts and exposes the metrics of an entry instance.
package mtmeter
