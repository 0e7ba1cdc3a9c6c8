// The load pattern: several instances send to one pool that is nearly full. An instance hears of an endpoint only when it sends there or
// looks, and what the others have there is forgotten in between, so that full endpoints look free. A request that is sent to one of
// them waits there behind those of the others, while a slot becomes free elsewhere; and one that is admitted because of them waits
// here in vain. So the part that others take is learned for the pool as a whole, and stands in for figures that are old.

package mtplacer

import (
	"math"
	"time"
)

const (
	// crowdWeight forgets half in some thirty reports.
	crowdWeight = 0.02
	// crowded is the part of the slots that other instances take from which on an endpoint without fresh figures is not taken for
	// free.
	crowded = 0.4
	// ownLeast is the least part of the slots that becomes free for this instance.
	ownLeast = 0.05
	// weighedMost is the number of waiting requests for which endpoints of a crowded pool are weighed and asked at a time: the looks
	// at an endpoint are few, and those of the first in turn must not wait for those of the last.
	weighedMost = 8
	// crowdLife is how long the last report of any endpoint proves that endpoints answer looks.
	crowdLife = 100 * time.Millisecond
)

// isCrowded reports whether other instances take so much of the pool that requests should be sent on fresh figures only.
func (p *Placer) isCrowded(now time.Time) bool {
	return p.crowdShare(now) >= crowded
}

// crowdShare returns the part of an endpoint's slots that requests of other instances take, as far as it is known at present.
func (p *Placer) crowdShare(now time.Time) float64 {
	if now.Sub(p.reported) >= crowdLife {
		return 0
	}
	return p.crowd.value
}

// expectedLevel returns the expected number of requests at the endpoint, where that of others goes back to their part of the pool as
// the last figure ages.
func (t *Target) expectedLevel(crowd float64, now time.Time) float64 {
	others := crowd * float64(t.Slots)
	if !t.reported.IsZero() {
		trust := math.Exp2(-float64(now.Sub(t.reported)) / float64(othersHalfLife))
		others += trust * (t.others - others)
	}
	return float64(t.inflight) + others
}
