// Package mtrate measures the rate of events.
package mtrate
