// The load pattern: the own link is full, so that responses take longer than a check usually waits. The endpoints that a check
// asks are silent, but responses to requests that were sent before still arrive.

package mtreach

import "time"

const (
	// minSilence is how long all endpoints must be silent to be taken for unreachable.
	minSilence = 400 * time.Millisecond
	// MaxCheckTime is the time after which a check without a response means that the service is lost, although endpoints of
	// other services respond.
	MaxCheckTime = 1200 * time.Millisecond
	// SilenceInterval is the time between two judgements of a silent check.
	SilenceInterval = 50 * time.Millisecond
)

// SilenceVerdict is the conclusion from the silence of the endpoints that a check asks.
type SilenceVerdict int

// The values of SilenceVerdict.
const (
	// KeepWaiting means that responses may still arrive.
	KeepWaiting SilenceVerdict = iota
	// Unreachable means that no endpoint is reached.
	Unreachable
	// Reachable means that endpoints have responded to other requests meanwhile.
	Reachable
)

// JudgeSilence judges a check that began at a time and has got no response so far; respondedAt is when any endpoint of
// any service last responded.
func (t *Tracker) JudgeSilence(began, respondedAt, now time.Time) SilenceVerdict {
	silence := now.Sub(began)
	switch {
	case silence < minSilence:
		return KeepWaiting
	case t.cut || silence >= MaxCheckTime:
		return Unreachable
	case t.respondedAt.After(began):
		return Reachable
	case now.Sub(respondedAt) >= minSilence:
		return Unreachable
	default:
		return KeepWaiting
	}
}

// CheckAbandoned records the end of an inconclusive check; the service is checked again after CheckInterval.
func (t *Tracker) CheckAbandoned(now time.Time) {
	t.checking = false
	t.nextCheck = now.Add(CheckInterval)
}
