package mtrate

import "time"

const (
	// countingPeriod is the time over which events are counted before the rate is updated.
	countingPeriod = time.Second
	// fallWeight is the weight of the latest period in a rate that falls.
	fallWeight = 0.5
)

// Rate is a number of events or bytes a second. It rises at once, because further instances must receive callers before
// a load overwhelms those that have it, and falls slowly, so that they don't stop receiving callers in each pause of an
// oscillating load.
type Rate struct {
	count       float64
	periodStart time.Time
	perSecond   float64
}

// Add counts a number of events.
func (r *Rate) Add(count float64, now time.Time) {
	r.closePeriod(now)
	r.count += count
}

// PerSecond returns the rate.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.closePeriod(now)
	return r.perSecond
}

// closePeriod updates the rate if a counting period has ended.
func (r *Rate) closePeriod(now time.Time) {
	if r.periodStart.IsZero() {
		r.periodStart = now
	}
	elapsed := now.Sub(r.periodStart)
	if elapsed < countingPeriod {
		return
	}
	latest := r.count / elapsed.Seconds()
	r.perSecond = max(latest, r.perSecond+fallWeight*(latest-r.perSecond))
	r.count = 0
	r.periodStart = now
}
