// Package mtingress takes requests from the connections of callers and writes their answers in order.
package mtingress
