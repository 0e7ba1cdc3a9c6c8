// Package mtdiagnosis merges the logs of several instances by time and derives from them why a request ended as it did.
package mtdiagnosis
