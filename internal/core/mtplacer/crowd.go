// The load pattern: several instances send to one pool that is nearly full. An instance hears of an endpoint only when it sends there or
// looks, and what the others have there is forgotten in between, so that full endpoints look free. A request that is sent to one of
// them waits there behind those of the others, while a slot becomes free elsewhere.

package mtplacer

import "time"

const (
	// crowdWeight forgets half in some thirty reports.
	crowdWeight = 0.02
	// crowded is the part of the slots that other instances take from which on an endpoint without fresh figures is not taken for
	// free.
	crowded = 0.4
	// crowdLife is how long the last report of any endpoint proves that endpoints answer looks.
	crowdLife = 100 * time.Millisecond
)

// isCrowded reports whether other instances take so much of the pool that requests should be sent on fresh figures only.
func (p *Placer) isCrowded(now time.Time) bool {
	return p.crowd.value >= crowded && now.Sub(p.reported) < crowdLife
}
