// The load pattern: many instances lose the endpoints at the same moment. What each one has lost reaches the others with
// its rows within seconds; until then, most instances that look like helpers decline what is passed on to them. Later, all
// requests go through few helpers, whose links are unequal and may be full.

package mthelper

import (
	"math/rand/v2"
	"time"
)

// memoryTime is how long an outcome counts. Rows are newer after that.
const memoryTime = time.Second

// Helper is an instance that may serve requests for a service.
type Helper struct {
	Name string
	// Capacity is the number of requests a second that the instance can serve.
	Capacity float64
}

// Memory remembers the outcomes of the requests that one instance has passed on. It is not safe for concurrent use.
type Memory struct {
	// pending is the number of requests that a helper has not answered.
	pending  map[string]int
	failed   map[string]map[string]time.Time
	answered map[string]map[string]time.Time
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		pending:  map[string]int{},
		failed:   map[string]map[string]time.Time{},
		answered: map[string]map[string]time.Time{},
	}
}

// RecordSent records that a request was passed on to a helper; RecordAnswered or RecordFailed must follow.
func (m *Memory) RecordSent(helper string) {
	m.pending[helper]++
}

// RecordAnswered records that a helper has answered a request for a service.
func (m *Memory) RecordAnswered(service, helper string, now time.Time) {
	m.end(helper)
	record(m.answered, service, helper, now)
	delete(m.failed[service], helper)
}

// RecordFailed records that a helper has declined a request for a service, or has not answered it.
func (m *Memory) RecordFailed(service, helper string, now time.Time) {
	m.end(helper)
	record(m.failed, service, helper, now)
	delete(m.answered[service], helper)
}

// RecordCancelled records that a request was cancelled, which says nothing about the helper.
func (m *Memory) RecordCancelled(helper string) {
	m.end(helper)
}

func (m *Memory) end(helper string) {
	m.pending[helper]--
	if m.pending[helper] <= 0 {
		delete(m.pending, helper)
	}
}

func record(times map[string]map[string]time.Time, service, helper string, now time.Time) {
	if times[service] == nil {
		times[service] = map[string]time.Time{}
	}
	times[service][helper] = now
}

// HasFailed reports whether a helper has recently declined a request for a service, or not answered it.
func (m *Memory) HasFailed(service, helper string, now time.Time) bool {
	return isRecent(m.failed[service], helper, now)
}

func isRecent(times map[string]time.Time, helper string, now time.Time) bool {
	at, found := times[helper]
	return found && now.Sub(at) < memoryTime
}

// Choose returns one of the helpers for a service, of which there must be one at least. While helpers decline, those that
// have answered are preferred.
//
// Of two that are drawn in proportion to their capacity, it takes the one with fewer pending requests for its capacity:
// what this instance sees itself is recent, and instances that see different things do not choose the same.
func (m *Memory) Choose(service string, helpers []Helper, now time.Time, random *rand.Rand) Helper {
	m.expire(service, now)
	if len(m.failed[service]) > 0 {
		helpers = m.preferAnswered(service, helpers, now)
	}
	first, second := draw(helpers, random), draw(helpers, random)
	if m.pendingRatio(second) < m.pendingRatio(first) {
		return second
	}
	return first
}

// preferAnswered returns the helpers that have recently answered a request for a service, or all if none has.
func (m *Memory) preferAnswered(service string, helpers []Helper, now time.Time) []Helper {
	var answered []Helper
	for _, helper := range helpers {
		if isRecent(m.answered[service], helper.Name, now) {
			answered = append(answered, helper)
		}
	}
	if len(answered) == 0 {
		return helpers
	}
	return answered
}

func (m *Memory) pendingRatio(helper Helper) float64 {
	return float64(m.pending[helper.Name]) / max(1, helper.Capacity)
}

// draw returns a random helper, with a probability in proportion to its capacity.
func draw(helpers []Helper, random *rand.Rand) Helper {
	sum := 0.0
	for _, helper := range helpers {
		sum += max(1, helper.Capacity)
	}
	point := random.Float64() * sum
	for _, helper := range helpers {
		point -= max(1, helper.Capacity)
		if point < 0 {
			return helper
		}
	}
	return helpers[len(helpers)-1]
}

// expire forgets the old outcomes of a service.
func (m *Memory) expire(service string, now time.Time) {
	for _, times := range []map[string]time.Time{m.failed[service], m.answered[service]} {
		for helper := range times {
			if !isRecent(times, helper, now) {
				delete(times, helper)
			}
		}
	}
}
