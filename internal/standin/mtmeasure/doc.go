// Package mtmeasure measures what the product costs on this machine in processor time, memory, traffic and latency.
package mtmeasure
