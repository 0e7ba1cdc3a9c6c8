package mtquota

import "time"

const (
	// depthPart, ratePart and unleasedPart are the parts of the excess that are used for the extra depth of buckets, for a
	// higher rate of all leases together, and for what runs without a lease. Rare events share the last part.
	depthPart    = 0.5
	ratePart     = 0.25
	unleasedPart = 0.25
	// sustainedBurstPart is the part of the burst that accrues anew in each window, as the bound of a window allows; the rest may
	// be saved up. A tenant that exceeds its rate for longer than its burst lasts gets most of what a window allows. It applies
	// from a rate of sustainedBurstRate on: requests of smaller tenants come less evenly and need what they have saved up.
	sustainedBurstPart = 0.7
	sustainedBurstRate = 50
	// maxUnseenPart is the largest part of the fleet that an instance takes which has heard no other one.
	maxUnseenPart = 0.25
)

// Limit is the quota of a tenant over all instances.
type Limit struct {
	// Rate is in requests per second.
	Rate  float64
	Burst float64
}

// sustainedBurst returns the part of the burst that accrues in each window, and savedBurst the part that may be saved up.
func (l Limit) sustainedBurst() float64 {
	if l.Rate < sustainedBurstRate {
		return 0
	}
	return sustainedBurstPart * l.Burst
}

func (l Limit) savedBurst() float64 {
	return l.Burst - l.sustainedBurst()
}

// Bounds bound the requests of a tenant: in each window, (rate x Window + burst) x (1 + Overage) + Slack of them may run.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// MaxRequests returns the number of requests that all instances together may run in one window.
func (b Bounds) MaxRequests(limit Limit) float64 {
	return limit.Rate*b.Window.Seconds() + limit.Burst + b.excess(limit)
}

// excess returns by how much the requests in one window may exceed the limit.
func (b Bounds) excess(limit Limit) float64 {
	return b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack
}

// UnseenPart returns the part of the fleet that an instance takes which has heard no other one, although there are some.
func (b Bounds) UnseenPart(limit Limit) float64 {
	return min(maxUnseenPart, b.unleasedShare(limit))
}

// leasedRate returns the rate of all leases together. It exceeds the limit, because the tokens of one holder are of no use to
// requests at another, and are clipped when shares move.
func (b Bounds) leasedRate(limit Limit) float64 {
	if b.Window <= 0 {
		return limit.Rate
	}
	return limit.Rate + (limit.sustainedBurst()+ratePart*b.excess(limit))/b.Window.Seconds()
}

// unleasedShare returns the share of the limit with which instances without a lease may run requests, all together.
func (b Bounds) unleasedShare(limit Limit) float64 {
	if limit.Rate <= 0 || b.Window <= 0 {
		return 0
	}
	return unleasedPart * b.excess(limit) / (limit.Rate * b.Window.Seconds())
}

// extraDepth returns the depth that each of a number of holders has beyond its share of the burst.
func (b Bounds) extraDepth(limit Limit, holders float64) float64 {
	if holders <= 0 {
		return 0
	}
	even := b.excess(limit) / holders
	// A holder with less than one token could not run a request before its lease has earned one.
	return max(depthPart*even, min(1, (1-unleasedPart)*even))
}
