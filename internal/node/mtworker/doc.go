// Package mtworker runs periodic tasks on a fixed pool of workers.
package mtworker
