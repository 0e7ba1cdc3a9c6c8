// Load pattern: instances that start together, or lose contact with each other, answer with different receivers until
// they have discovered each other. Callers that cache such an answer for long make all of these receivers place
// requests on one pool, each without knowing what the others send there.

package mtsteering

import (
	"slices"
	"time"
)

const (
	// minAnswerTTL is some ten round trips to an instance.
	minAnswerTTL = 200 * time.Millisecond
	// maxAnswerTTL bounds how long callers stay with an instance that has failed.
	maxAnswerTTL = 1500 * time.Millisecond
)

// AnswerTTL sets how long callers may cache an answer: as long as its set of receivers has been the same, within bounds.
type AnswerTTL struct {
	receivers []string
	changed   time.Time
}

// RecordReceivers records the receivers that the answers list from now on; their order does not matter.
func (h *AnswerTTL) RecordReceivers(receivers []Candidate, now time.Time) {
	names := make([]string, 0, len(receivers))
	for _, receiver := range receivers {
		names = append(names, receiver.Name)
	}
	slices.Sort(names)
	if h.changed.IsZero() || !slices.Equal(names, h.receivers) {
		h.receivers, h.changed = names, now
	}
}

// At returns how long callers may cache an answer that is given now.
func (h *AnswerTTL) At(now time.Time) time.Duration {
	return min(maxAnswerTTL, max(minAnswerTTL, now.Sub(h.changed)))
}
