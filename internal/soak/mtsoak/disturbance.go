package mtsoak

import (
	"math"
	"sync"
	"time"
)

// disturbances remember when something had happened to what.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][]*disturbance
}

type disturbance struct {
	from, to time.Duration
}

func newDisturbances() *disturbances {
	return &disturbances{
		spans: map[string][]*disturbance{},
	}
}

// begin records that something happens to a thing, until the function that is returned is called.
func (d *disturbances) begin(thing string, now time.Duration) (end func(now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := &disturbance{
		from: now,
		to:   math.MaxInt64,
	}
	d.spans[thing] = append(d.spans[thing], span)
	return func(now time.Duration) {
		d.mu.Lock()
		defer d.mu.Unlock()
		span.to = now
	}
}

// touched reports whether something happened to one of the things in a span.
func (d *disturbances) touched(from, to time.Duration, things ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, thing := range things {
		for _, span := range d.spans[thing] {
			if span.from <= to && span.to >= from {
				return true
			}
		}
	}
	return false
}
