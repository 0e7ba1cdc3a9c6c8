// Package mtbudget bounds retries and hedges to a part of the calls.
package mtbudget
