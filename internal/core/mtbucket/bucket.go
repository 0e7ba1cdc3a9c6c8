package mtbucket

import "time"

const (
	// burstWindow is the time whose calls may come at once.
	burstWindow = 200 * time.Millisecond
	// longestWait bounds what a refused caller is told to wait.
	longestWait = time.Minute
)

// Bucket admits calls at a part of a rate and up to a part of a concurrency.
type Bucket struct {
	rate           float64
	concurrency    float64
	hasRate        bool
	hasConcurrency bool
	tokens         float64
	filled         time.Time
	inflight       int
	arrived        float64
	demand         float64
}

// Limit sets a part of a rate in calls per second and of a concurrency in calls; a rate or concurrency of 0 sets no bound.
func (b *Bucket) Limit(rate, concurrency, part float64, now time.Time) {
	fresh := b.filled.IsZero()
	b.fill(now)
	b.hasRate = rate > 0
	b.hasConcurrency = concurrency > 0
	b.rate = rate * part
	b.concurrency = concurrency * part
	if fresh {
		b.tokens = b.size()
	}
	b.tokens = min(b.tokens, b.size())
}

func (b *Bucket) size() float64 {
	return max(1, b.rate*burstWindow.Seconds())
}

func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filled); !b.filled.IsZero() && elapsed > 0 {
		b.tokens = min(b.size(), b.tokens+b.rate*elapsed.Seconds())
	}
	b.filled = now
}

// Take admits one call, or returns how long to wait before the next try.
func (b *Bucket) Take(now time.Time) (wait time.Duration, admitted bool) {
	b.fill(now)
	b.arrived++
	if b.hasConcurrency && float64(b.inflight) >= max(1, b.concurrency) {
		return burstWindow, false
	}
	if b.hasRate {
		if b.tokens < 1 {
			return b.wait(), false
		}
		b.tokens--
	}
	b.inflight++
	return 0, true
}

// wait returns the time until the next token.
func (b *Bucket) wait() time.Duration {
	if b.rate <= 0 {
		return longestWait
	}
	return min(longestWait, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
}

// Undo takes back a call that another bucket refused.
func (b *Bucket) Undo() {
	b.inflight--
	if b.hasRate {
		b.tokens++
	}
}

// Release ends an admitted call.
func (b *Bucket) Release() {
	b.inflight--
}

// Arrived returns the calls that asked since the last call of Demand.
func (b *Bucket) Arrived() float64 {
	return b.arrived
}

// IsIdle reports whether no admitted call is in flight.
func (b *Bucket) IsIdle() bool {
	return b.inflight == 0
}

// Demand returns the calls per second that asked; it is called once per period, rises at once and falls smoothly.
func (b *Bucket) Demand(period time.Duration) float64 {
	const weight = 0.3
	latest := b.arrived / period.Seconds()
	b.demand = max(latest, b.demand+weight*(latest-b.demand))
	b.arrived = 0
	return b.demand
}
