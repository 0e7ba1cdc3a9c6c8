// Package mtmeter holds the metrics of an entry instance.
package mtmeter
