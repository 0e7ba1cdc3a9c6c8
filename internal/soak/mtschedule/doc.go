// Package mtschedule draws the faults of a soak run from its seed.
package mtschedule
