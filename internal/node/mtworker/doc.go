// Package mtworker runs periodic tasks on a pool with a fixed number of workers.
package mtworker
