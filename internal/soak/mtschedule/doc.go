// Package mtschedule draws the faults of a soak run, with their times and targets, from a seed.
package mtschedule
