package mtsteering

import (
	"slices"
	"time"
)

// ReceiverSelector selects the receivers from the view of one instance and falls back to its last stable selection while the
// instance has no contact with any other.
//
// Such an instance can't tell whether it is partitioned or the others have failed. A partition is by far the more
// frequent case, and callers that still reach this instance mostly reach the others as well, which have newer data and
// share the budgets among themselves.
type ReceiverSelector struct {
	// Started is the start time of the instance.
	Started time.Time

	// stable is the last selection that did not change for minStableTime.
	stable []Candidate
	// last is the latest selection, and lastChanged the time since which it has been the same.
	last        []Candidate
	lastChanged time.Time
}

const (
	// minPeersForPartition is the number of other instances from which on the silence of all of them means that this
	// instance is partitioned.
	minPeersForPartition = 2
	// minStableTime is longer than the time over which all instances go silent one after the other: two gossip periods
	// of 1 s.
	minStableTime = 2 * time.Second
	// assumeReadyTime is how long after its start an instance does not know the readiness of the others: two heartbeat
	// intervals of 400 ms.
	assumeReadyTime = 800 * time.Millisecond
)

// Select returns the instances that callers are sent to, from the view of the instance with the given name.
func (c *ReceiverSelector) Select(candidates []Candidate, name string, now time.Time) []Candidate {
	if now.Sub(c.Started) < assumeReadyTime {
		candidates = assumeReady(candidates)
	}
	reachable, peers := 0, 0
	var self []Candidate
	for _, candidate := range candidates {
		switch {
		case candidate.Name == name:
			self = append(self, candidate)
		case candidate.Leaving:
		default:
			peers++
			reachable += countTrue(candidate.SinceHeartbeat <= heartbeatTimeout)
		}
	}
	receivers := SelectReceivers(candidates)
	if reachable > 0 || peers < minPeersForPartition {
		c.recordStable(receivers, now)
		return receivers
	}
	if len(c.stable) == 0 {
		return receivers
	}
	stablePeers := slices.DeleteFunc(slices.Clone(c.stable), func(candidate Candidate) bool {
		return candidate.Name == name
	})
	return append(stablePeers, self...)
}

// assumeReady returns a copy of the candidates in which all are ready.
//
// After a restart of all instances, each one knows that it is ready itself before it learns the same of the others, and
// would send callers to itself alone. The most senior instances become ready at about the same time.
func assumeReady(candidates []Candidate) []Candidate {
	ready := slices.Clone(candidates)
	for i := range ready {
		ready[i].Ready = true
	}
	return ready
}

// recordStable saves the selection as stable once it has not changed for minStableTime.
func (c *ReceiverSelector) recordStable(receivers []Candidate, now time.Time) {
	if !slices.EqualFunc(receivers, c.last, func(a, b Candidate) bool {
		return a.Name == b.Name
	}) {
		c.last, c.lastChanged = receivers, now
	}
	if now.Sub(c.lastChanged) >= minStableTime {
		c.stable = receivers
	}
}
