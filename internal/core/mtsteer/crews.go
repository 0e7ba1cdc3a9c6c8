package mtsteer

import (
	"slices"
	"time"
)

// Crews chooses the receivers for one instance and remembers those of the time before it lost touch with all others.
//
// Such an instance can't tell whether it was cut off or the others died. The first is by far the more frequent, and callers that
// still reach it mostly reach the others as well, which know more and share the budgets among them.
type Crews struct {
	// Started is the moment of the instance's own start.
	Started time.Time

	// known are the last receivers that did not change for settleTime.
	known []Candidate
	// last are the receivers of the last choice, and since is when they became so.
	last  []Candidate
	since time.Time
}

const (
	// othersLeast is the number of other instances from which on silence of all means that this one is cut off.
	othersLeast = 2
	// settleTime is longer than the time in which all instances fall silent one after the other: two periods of 1 s in which
	// they tell of each other.
	settleTime = 2 * time.Second
	// readyTime is how long after its own start an instance does not know which others can serve: two periods of 400 ms in which
	// they tell it.
	readyTime = 800 * time.Millisecond
)

// Choose returns the instances that callers are sent to, as the instance of a name sees it.
func (c *Crews) Choose(candidates []Candidate, name string, now time.Time) []Candidate {
	if now.Sub(c.Started) < readyTime {
		candidates = allReady(candidates)
	}
	heard, others := 0, 0
	var self []Candidate
	for _, candidate := range candidates {
		switch {
		case candidate.Name == name:
			self = append(self, candidate)
		case candidate.Leaving:
		default:
			others++
			heard += count(candidate.Silence <= silenceLimit)
		}
	}
	crew := Crew(candidates)
	if heard > 0 || others < othersLeast {
		c.settle(crew, now)
		return crew
	}
	if len(c.known) == 0 {
		return crew
	}
	kept := slices.DeleteFunc(slices.Clone(c.known), func(candidate Candidate) bool {
		return candidate.Name == name
	})
	return append(kept, self...)
}

// allReady returns the candidates as if each could serve.
//
// After a restart of all, an instance knows of itself that it can serve before it hears the same of the others, and would send
// callers to itself alone. The most senior ones will be able to at about the same time.
func allReady(candidates []Candidate) []Candidate {
	ready := slices.Clone(candidates)
	for i := range ready {
		ready[i].Ready = true
	}
	return ready
}

// settle remembers receivers that have not changed for a while.
func (c *Crews) settle(crew []Candidate, now time.Time) {
	if !slices.EqualFunc(crew, c.last, func(a, b Candidate) bool {
		return a.Name == b.Name
	}) {
		c.last, c.since = crew, now
	}
	if now.Sub(c.since) >= settleTime {
		c.known = crew
	}
}
