package mtstarvation

import "time"

const (
	// maxMeanTimerLag is the mean delay of timers above which an instance counts as short of processor time: timers of
	// an instance that keeps up with its load fire within a few milliseconds, those of an overloaded one only after its
	// whole queue of work.
	maxMeanTimerLag = 25 * time.Millisecond
	// timerLagWeight is the weight of the latest delay in the exponentially weighted mean.
	timerLagWeight = 0.4
	// recoveryTime is how long an instance counts as short of processor time after the mean was last above the limit.
	// Without it, an instance that callers have left would count as recovered at once.
	recoveryTime = 5 * time.Second
)

// Detector detects from the delays of its timers that an instance does not get the processor time that it needs.
type Detector struct {
	// meanLag is in nanoseconds.
	meanLag       float64
	strainedUntil time.Time
}

// RecordTimer records a timer that was due at one time and fired at another.
func (s *Detector) RecordTimer(due, fired time.Time) {
	lag := max(0, fired.Sub(due))
	s.meanLag += timerLagWeight * (float64(lag) - s.meanLag)
	if s.meanLag > float64(maxMeanTimerLag) {
		s.strainedUntil = fired.Add(recoveryTime)
	}
}

// IsStarved reports whether the instance has been short of processor time within recoveryTime.
func (s *Detector) IsStarved(now time.Time) bool {
	return now.Before(s.strainedUntil)
}
