package mtquota

import "time"

// age returns the time from one instant to another: the larger of monotonic and wall-clock time, because the monotonic clock
// may stop while the machine is suspended.
func age(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
