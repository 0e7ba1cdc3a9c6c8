package mtclock

import "time"

// stepLeast is the least difference that counts as a step. Time services slow or speed the clock by less than a thousandth, 0.25 ms
// in the time between two readings.
const stepLeast = 250 * time.Millisecond

// Steps compares the time of day with the time since the start of the process, which no step changes.
type Steps struct {
	last time.Time
}

// Read returns by how much the time of day was set forward, or back when negative, since the last reading, and zero when it was not.
func (s *Steps) Read(now time.Time) time.Duration {
	last := s.last
	s.last = now
	if last.IsZero() {
		return 0
	}
	// Round strips the reading of the monotonic clock.
	return stepBetween(now.Round(0).Sub(last.Round(0)), now.Sub(last))
}

// stepBetween returns the step of the time of day, of which wall has passed while the process ran for elapsed.
func stepBetween(wall, elapsed time.Duration) time.Duration {
	step := wall - elapsed
	if step.Abs() < stepLeast {
		return 0
	}
	return step
}
