package mtsoak

import (
	"strconv"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
)

// The promise to an endpoint that names a limit: from limitGrace on, in each limitWindow at most limitTolerance times what
// the limit allows and limitExtra requests from the instances that passed its answers on limitToldDelay before.
const (
	limitGrace     = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
	limitToldDelay = 500 * time.Millisecond
)

// limitsPerSecond are the limits that endpoints name, one after the other.
var limitsPerSecond = []float64{1.3, 6, 0.4, 2.2}

// requestLimit is the limit that an endpoint names, and the requests that it got since.
type requestLimit struct {
	mu        sync.Mutex
	perSecond float64
	// namedAt is when the limit was named, or 0 without a limit.
	namedAt time.Duration
	// toldAt is when an instance first got an answer that names the limit, by the index of the instance.
	toldAt   map[int]time.Duration
	arrivals []limitedArrival
}

type limitedArrival struct {
	instance int
	at       time.Duration
}

// limitEndpoint makes an endpoint name a limit for a time.
func (r *run) limitEndpoint(e *endpoint, duration time.Duration) {
	perSecond := limitsPerSecond[int(r.limitCount.Add(1))%len(limitsPerSecond)]
	e.limit.begin(perSecond, r.now())
	e.fake.SetLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	r.sleep(duration)
	e.fake.SetLimit("")
	e.limit.begin(0, 0)
}

func (l *requestLimit) begin(perSecond float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.namedAt = perSecond, now
	l.toldAt = map[int]time.Duration{}
	l.arrivals = nil
}

// recordAnswer records that an instance gets an answer that names the limit.
func (l *requestLimit) recordAnswer(instance int, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, isTold := l.toldAt[instance]; l.namedAt > 0 && !isTold {
		l.toldAt[instance] = now
	}
}

// recordArrival records a request and returns the number of those that count in the window that ends now, and how many are
// allowed; isExcused reports whether an instance had a fault since a time.
func (l *requestLimit) recordArrival(
	instance int, now time.Duration, isExcused func(instance int, since time.Duration) bool,
) (count int, allowed float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.namedAt == 0 {
		return 0, 0
	}
	l.arrivals = append(l.arrivals, limitedArrival{
		instance: instance,
		at:       now,
	})
	if now-l.namedAt < limitGrace {
		return 0, 0
	}
	for _, arrival := range l.arrivals {
		toldAt, isTold := l.toldAt[arrival.instance]
		if isTold && now-toldAt >= limitToldDelay && now-arrival.at < limitWindow && !isExcused(arrival.instance, toldAt) {
			count++
		}
	}
	return count, limitTolerance*l.perSecond*limitWindow.Seconds() + limitExtra
}

// checkLimit reports a violation if a request of an instance exceeds the limit of the endpoint.
func (e *endpoint) checkLimit(id string, instance int, now time.Duration) {
	count, allowed := e.limit.recordArrival(instance, now, func(instance int, since time.Duration) bool {
		return e.run.faults.overlaps(since, now, e.run.instanceNames[instance], stoppingKey(instance))
	})
	if float64(count) > allowed {
		e.run.checker.Report(now, mtinvariant.LimitKept, "request %s is the %d. at %s in %v, allowed are %.1f", id, count,
			e.fake.ID, limitWindow, allowed)
	}
}
