// Package mtbudget bounds retries and hedges to a fraction of the calls.
package mtbudget
