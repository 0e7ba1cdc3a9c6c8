package mtclock

import "time"

// minStep is the smallest difference between the wall clock and the monotonic clock that counts as a step. Time
// services adjust the rate of the wall clock by less than a thousandth, which is 0.25 ms in the time between two
// readings.
const minStep = 250 * time.Millisecond

// StepDetector detects steps by comparing the wall clock with the monotonic clock, which steps do not change.
type StepDetector struct {
	lastReading time.Time
}

// Read returns by how much the wall clock was set forward, or back if negative, since the last reading, or zero if it
// was not. The first reading returns zero.
func (s *StepDetector) Read(now time.Time) time.Duration {
	last := s.lastReading
	s.lastReading = now
	if last.IsZero() {
		return 0
	}
	// Round(0) removes the monotonic clock reading.
	return stepBetween(now.Round(0).Sub(last.Round(0)), now.Sub(last))
}

// stepBetween returns the step of the wall clock between two readings, from the time that passed on the wall clock and
// on the monotonic clock, or zero if it is below minStep.
func stepBetween(wall, monotonic time.Duration) time.Duration {
	step := wall - monotonic
	if step.Abs() < minStep {
		return 0
	}
	return step
}
