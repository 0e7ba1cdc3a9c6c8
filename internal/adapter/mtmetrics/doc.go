// Package mtmetrics counts and exposes the metrics of an entry instance.
package mtmetrics
