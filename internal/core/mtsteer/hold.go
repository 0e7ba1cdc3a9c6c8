// The load pattern: instances that start together, or lose each other, name different receivers until they have met. Callers that
// keep such an answer for long make all of these receivers decide about one pool, each without knowing what the others send there.

package mtsteer

import (
	"slices"
	"time"
)

const (
	// holdLeast is the shortest time for which callers keep an answer: some ten times the way to an instance and back.
	holdLeast = 200 * time.Millisecond
	// holdMost is the longest: callers leave a lost instance soon.
	holdMost = 1500 * time.Millisecond
)

// Hold decides for how long callers may keep an answer: for as long as its receivers have been the same, within bounds.
type Hold struct {
	named []string
	since time.Time
}

// Named records the receivers that are in the answers from now on, in any order.
func (h *Hold) Named(crew []Candidate, now time.Time) {
	names := make([]string, 0, len(crew))
	for _, receiver := range crew {
		names = append(names, receiver.Name)
	}
	slices.Sort(names)
	if h.since.IsZero() || !slices.Equal(names, h.named) {
		h.named, h.since = names, now
	}
}

// Left returns for how long callers may keep an answer that they get now.
func (h *Hold) Left(now time.Time) time.Duration {
	return min(holdMost, max(holdLeast, now.Sub(h.since)))
}
