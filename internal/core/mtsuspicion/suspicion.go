// The load pattern: a request that crashes each endpoint that begins to run it, and comes again at any instance. Each crash
// also hits all requests in flight beside it, among them some that many callers send. So a crash raises a suspicion
// against all of them, and an answer to an equal request clears it:
//
//	clear --crash--> suspected --crashes at quarantineCrashes endpoints--> quarantined
//	quarantined --quarantine over--> suspected; one more crash quarantines it for twice as long
//	suspected, quarantined --an endpoint answers an equal request--> clear

package mtsuspicion

import (
	"slices"
	"time"
)

const (
	// quarantineCrashes is the number of crashes from which on a request is quarantined.
	quarantineCrashes = 3
	// baseQuarantine is the length of the first quarantine, and maxQuarantine bounds the later ones.
	baseQuarantine = 30 * time.Second
	maxQuarantine  = time.Hour
	// maxCrashes bounds the crashes that are kept. The last ones count.
	maxCrashes = 12
	// crashTTL is how long crashes are remembered without a further one, beyond the end of a quarantine.
	crashTTL = 10 * time.Minute
	// answerTTL is how long an answer is remembered, so that older reports of peers don't raise the suspicion again.
	answerTTL = time.Minute
)

// Suspicion is the evidence about all requests with one fingerprint; the zero value has none. It is not safe for concurrent
// use.
type Suspicion struct {
	// Crashes are the crashes since the last answer, the oldest first.
	Crashes []Crash
	// AnsweredAt is when an endpoint last answered an equal request while there was a suspicion; zero if none did.
	AnsweredAt time.Time
}

// AddCrash adds a crash and reports whether it is new.
func (s *Suspicion) AddCrash(crash Crash) bool {
	if !crash.At.After(s.AnsweredAt) || slices.ContainsFunc(s.Crashes, crash.isSame) {
		return false
	}
	s.Crashes = append(s.Crashes, crash)
	slices.SortFunc(s.Crashes, func(a, b Crash) int {
		return a.At.Compare(b.At)
	})
	s.Crashes = s.Crashes[max(0, len(s.Crashes)-maxCrashes):]
	return true
}

// AddAnswer removes the crashes up to an answer and reports whether that changes anything.
func (s *Suspicion) AddAnswer(at time.Time) bool {
	if !at.After(s.AnsweredAt) {
		return false
	}
	s.AnsweredAt = at
	before := len(s.Crashes)
	s.Crashes = slices.DeleteFunc(s.Crashes, func(crash Crash) bool {
		return !crash.At.After(at)
	})
	return len(s.Crashes) < before
}

// IsSuspected reports whether there has been a crash since the last answer.
func (s *Suspicion) IsSuspected() bool {
	return len(s.Crashes) > 0
}

// LastCrash returns when the last crash was; zero without one.
func (s *Suspicion) LastCrash() time.Time {
	if len(s.Crashes) == 0 {
		return time.Time{}
	}
	return s.Crashes[len(s.Crashes)-1].At
}

// QuarantineEnd returns when the last quarantine ends or has ended; found is false if there was none.
func (s *Suspicion) QuarantineEnd() (end time.Time, found bool) {
	length := s.quarantineLength()
	return s.LastCrash().Add(length), length > 0
}

// quarantineLength returns the length of the last quarantine, or 0.
func (s *Suspicion) quarantineLength() time.Duration {
	beyond := len(s.Crashes) - quarantineCrashes
	if beyond < 0 {
		return 0
	}
	return min(baseQuarantine<<beyond, maxQuarantine)
}

// IsExpired reports whether the evidence is too old to count.
func (s *Suspicion) IsExpired(now time.Time) bool {
	return now.Sub(s.LastCrash()) > s.quarantineLength()+crashTTL && now.Sub(s.AnsweredAt) > answerTTL
}
