package mtbucket

import "time"

const (
	// burstWindow is the time whose calls at the full rate may arrive in one burst.
	burstWindow = 200 * time.Millisecond
	// maxWait bounds the time until the next attempt that a refused caller is given.
	maxWait = time.Minute
)

// Bucket admits calls up to a share of a rate and a share of a concurrency. It is not safe for concurrent use.
type Bucket struct {
	rate           float64
	concurrency    float64
	hasRate        bool
	hasConcurrency bool
	tokens         float64
	refilledAt     time.Time
	inflight       int
	// arrivedCalls is the number of calls, admitted or not, since the last call of Demand.
	arrivedCalls float64
	// demand is the smoothed rate of calls, admitted or not, per second.
	demand float64
}

// SetLimit sets the limits to a share of a rate in calls per second and of a concurrency in calls. A rate or concurrency
// of 0 means no limit.
func (b *Bucket) SetLimit(rate, concurrency, share float64, now time.Time) {
	isFirst := b.refilledAt.IsZero()
	b.refill(now)
	b.hasRate = rate > 0
	b.hasConcurrency = concurrency > 0
	b.rate = rate * share
	b.concurrency = concurrency * share
	if isFirst {
		b.tokens = b.maxTokens()
	}
	b.tokens = min(b.tokens, b.maxTokens())
}

// maxTokens returns the size of the largest burst.
func (b *Bucket) maxTokens() float64 {
	return max(1, b.rate*burstWindow.Seconds())
}

// refill adds the tokens for the time since the last refill.
func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); !b.refilledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.maxTokens(), b.tokens+b.rate*elapsed.Seconds())
	}
	b.refilledAt = now
}

// Admit admits one call, or returns the time to wait before the next attempt.
func (b *Bucket) Admit(now time.Time) (wait time.Duration, admitted bool) {
	b.refill(now)
	b.arrivedCalls++
	if b.hasConcurrency && float64(b.inflight) >= max(1, b.concurrency) {
		return burstWindow, false
	}
	if b.hasRate {
		if b.tokens < 1 {
			return b.timeToNextToken(), false
		}
		b.tokens--
	}
	b.inflight++
	return 0, true
}

// timeToNextToken returns the time until the next token, at most maxWait.
func (b *Bucket) timeToNextToken() time.Duration {
	if b.rate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

// RevertAdmission reverts the admission of a call that another bucket refused.
func (b *Bucket) RevertAdmission() {
	b.inflight--
	if b.hasRate {
		b.tokens++
	}
}

// Release records the end of an admitted call.
func (b *Bucket) Release() {
	b.inflight--
}

// ArrivedCalls returns the number of calls, admitted or not, since the last call of Demand.
func (b *Bucket) ArrivedCalls() float64 {
	return b.arrivedCalls
}

// IsIdle reports whether no admitted call is in flight.
func (b *Bucket) IsIdle() bool {
	return b.inflight == 0
}

// UpdateDemand returns the smoothed rate of calls, admitted or not, per second. It must be called once per period. An
// increase shows at once; a decrease is smoothed exponentially.
func (b *Bucket) UpdateDemand(period time.Duration) float64 {
	const latestWeight = 0.3
	latest := b.arrivedCalls / period.Seconds()
	b.demand = max(latest, b.demand+latestWeight*(latest-b.demand))
	b.arrivedCalls = 0
	return b.demand
}
