// Package mtallowance bounds the extra attempts of one instance, so that those of all instances together keep a bound.
package mtallowance
