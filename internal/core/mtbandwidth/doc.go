// Package mtbandwidth spreads the requests of an instance so that their responses do not wait in its link.
package mtbandwidth
