package mtstrain

import "time"

const (
	// lagLimit is the mean lateness of timers from which on an instance counts as strained: an instance that serves its load
	// wakes up within a few milliseconds, one that lacks processor time after its whole queue of work.
	lagLimit = 25 * time.Millisecond
	// lagWeight is the weight of one lateness in the mean.
	lagWeight = 0.4
	// strainLife is how long an instance stays strained after the last sign, because without callers it looks well at once.
	strainLife = 5 * time.Second
)

// Strain notices that an instance does not get the processor time that it needs, from how late its timers are.
type Strain struct {
	lag   float64
	until time.Time
}

// Woke records that a timer that was due at a moment fired now.
func (s *Strain) Woke(due, now time.Time) {
	late := max(0, now.Sub(due))
	s.lag += lagWeight * (float64(late) - s.lag)
	if s.lag > float64(lagLimit) {
		s.until = now.Add(strainLife)
	}
}

// IsStrained reports whether the instance lacked processor time lately.
func (s *Strain) IsStrained(now time.Time) bool {
	return now.Before(s.until)
}
