package mtrate

import "time"

const (
	// period is the time over which events are counted before the rate changes.
	period = time.Second
	// fallWeight is the weight of one period in a rate that falls.
	fallWeight = 0.5
)

// Rate is a number of events or bytes a second. It rises at once, because instances must join before a load overwhelms those that
// have it, and falls slowly, so that they don't leave in each pause of a load that swings.
type Rate struct {
	count  float64
	began  time.Time
	second float64
}

// Add counts a number of events at a moment.
func (r *Rate) Add(count float64, now time.Time) {
	r.roll(now)
	r.count += count
}

// PerSecond returns the rate at a moment.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.roll(now)
	return r.second
}

func (r *Rate) roll(now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	past := now.Sub(r.began)
	if past < period {
		return
	}
	newest := r.count / past.Seconds()
	r.second = max(newest, r.second+fallWeight*(newest-r.second))
	r.count = 0
	r.began = now
}
