// Package mtmeasure measures what the product costs on this machine.
package mtmeasure
