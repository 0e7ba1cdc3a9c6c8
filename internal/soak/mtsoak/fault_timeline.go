package mtsoak

import (
	"math"
	"sync"
	"time"
)

// faultTimeline records when each component, such as the store or one instance, had a fault.
type faultTimeline struct {
	mu    sync.Mutex
	spans map[string][]*faultSpan
}

type faultSpan struct {
	from, to time.Duration
}

func newFaultTimeline() *faultTimeline {
	return &faultTimeline{
		spans: map[string][]*faultSpan{},
	}
}

// begin records that a component has a fault from now until the time that end is called with.
func (t *faultTimeline) begin(component string, now time.Duration) (end func(now time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	span := &faultSpan{
		from: now,
		to:   math.MaxInt64,
	}
	t.spans[component] = append(t.spans[component], span)
	return func(now time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		span.to = now
	}
}

// overlaps reports whether one of the components had a fault at any time between from and to.
func (t *faultTimeline) overlaps(from, to time.Duration, components ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, component := range components {
		for _, span := range t.spans[component] {
			if span.from <= to && span.to >= from {
				return true
			}
		}
	}
	return false
}
