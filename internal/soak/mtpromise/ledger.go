package mtpromise

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Promise is the name of what must hold.
type Promise string

// The promises.
const (
	// Once: a request that is not idempotent runs at most once for each attempt of its caller.
	Once Promise = "once"
	// NotRun: a request that is not idempotent and was refused with 503 or 429 has not run and does not run later.
	NotRun Promise = "not-run"
	// Whole: an answer that ends in order is the one that the endpoint gave.
	Whole Promise = "whole"
	// Answered: a request at an instance that nothing has happened to is answered.
	Answered Promise = "answered"
	// InTime: its answer comes within the time that the caller waits.
	InTime Promise = "in-time"
	// Leaving: an endpoint that has said that it leaves gets no more requests.
	Leaving Promise = "leaving"
	// NoStepBack: an instance never goes back to an older configuration.
	NoStepBack Promise = "no-step-back"
	// InForce: a configuration is in force at all instances in time.
	InForce Promise = "in-force"
	// Repeats: repeats stay within the budget over all instances.
	Repeats Promise = "repeats"
	// Recovers: all is served again when the faults are over.
	Recovers Promise = "recovers"
)

// timed are the promises that hold only on a machine that has the processor time that the run needs.
var timed = map[Promise]bool{
	InTime:  true,
	Leaving: true,
	InForce: true,
	Repeats: true,
}

// Broken is one promise that was not kept.
type Broken struct {
	At      time.Duration
	Promise Promise
	Detail  string
}

// String returns the finding as one line.
func (b Broken) String() string {
	return fmt.Sprintf("%7.3fs broken %s: %s", b.At.Seconds(), b.Promise, b.Detail)
}

// Call is how one request ended for its caller.
type Call struct {
	ID         string
	Service    string
	Idempotent bool
	Instance   int
	// Began and Ended are since the start of the run.
	Began time.Duration
	Ended time.Duration
	Wait  time.Duration
	// Status is that of the answer, or 0 when none came; Complete is set when all of it came, and Right when it was as it
	// should be.
	Status   int
	Complete bool
	Right    bool
	// Unsent is set when the instance took no connection.
	Unsent bool
	// Gone is set when the instance was told to stop before the answer was due.
	Gone bool
	// Excused is set when something has happened to the instance or the way to it meanwhile.
	Excused bool
	// Spoilt is set when something has happened to endpoints or the way to them meanwhile, which may cut a long answer.
	Spoilt bool
}

// arrival is what is known of one request at the endpoints.
type arrival struct {
	service    string
	idempotent bool
	instance   int
	count      int
	runs       int
	refused    bool
}

// Ledger keeps what was seen; it is safe for use by many goroutines.
type Ledger struct {
	untimed bool

	mu       sync.Mutex
	requests map[string]*arrival
	asked    map[string][]time.Duration
	repeats  map[string][]time.Duration
	broken   []Broken
	counts   map[string]int
}

// NewLedger returns an empty ledger; untimed leaves out the promises that need processor time.
func NewLedger(untimed bool) *Ledger {
	return &Ledger{
		untimed:  untimed,
		requests: map[string]*arrival{},
		asked:    map[string][]time.Duration{},
		repeats:  map[string][]time.Duration{},
		counts:   map[string]int{},
	}
}

// Break records a promise that was not kept.
func (l *Ledger) Break(at time.Duration, promise Promise, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(at, promise, format, values...)
}

// add is Break with the mutex held.
func (l *Ledger) add(at time.Duration, promise Promise, format string, values ...any) {
	if l.untimed && timed[promise] {
		l.counts["untimed "+string(promise)]++
		return
	}
	l.broken = append(l.broken, Broken{
		At:      at,
		Promise: promise,
		Detail:  fmt.Sprintf(format, values...),
	})
}

// of returns what is known of a request; the mutex is held.
func (l *Ledger) of(id string) *arrival {
	if l.requests[id] == nil {
		l.requests[id] = &arrival{}
	}
	return l.requests[id]
}

// Asked records that a caller sends a request to an instance.
func (l *Ledger) Asked(id, service string, idempotent bool, instance int, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.of(id)
	found.service = service
	found.idempotent = idempotent
	found.instance = instance
	l.asked[service] = append(l.asked[service], now)
}

// Arrived records that a request has come to an endpoint and returns the instance that its caller has sent it to.
func (l *Ledger) Arrived(id string, now time.Duration) (instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.of(id)
	found.count++
	if found.count > 1 {
		l.repeats[found.service] = append(l.repeats[found.service], now)
	}
	return found.instance
}

// Ran records that an endpoint runs a request.
func (l *Ledger) Ran(id, endpoint string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.of(id)
	found.runs++
	switch {
	case found.idempotent:
	case found.runs > 1:
		l.add(now, Once, "request %s runs for the %d. time, at %s", id, found.runs, endpoint)
	case found.refused:
		l.add(now, NotRun, "request %s runs at %s after it was refused as not run", id, endpoint)
	}
}

// Finished records how a request ended for its caller.
func (l *Ledger) Finished(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := l.of(call.ID)
	l.counts[outcome(call)]++
	switch {
	case call.Unsent:
		return
	case !call.Complete:
		l.cut(call, found)
	case refuses(call.Status) && !call.Idempotent:
		found.refused = true
		if found.runs > 0 {
			l.add(call.Ended, NotRun, "request %s was answered %d by instance %d and has run", call.ID, call.Status, call.Instance)
		}
	case call.Status == http.StatusOK && !call.Right:
		l.add(call.Ended, Whole, "request %s was answered wrongly by instance %d", call.ID, call.Instance)
	}
	if call.Complete && !call.Excused && call.Ended-call.Began > call.Wait+answerSlack {
		l.add(call.Ended, InTime, "request %s was answered by instance %d after %v", call.ID, call.Instance, call.Ended-call.Began)
	}
}

// answerSlack is how much later than its caller waits an answer may be seen.
const answerSlack = 500 * time.Millisecond

// cut treats a request without a whole answer; the mutex is held.
func (l *Ledger) cut(call Call, found *arrival) {
	switch {
	case call.Excused, call.Status != 0 && call.Spoilt:
	case call.Gone && found.count == 0:
		// The instance was leaving and closed the connection at the moment at which the request came.
		l.counts["came as the instance closed"]++
	default:
		l.add(call.Ended, Answered, "request %s at instance %d, begun at %v: status %d, no whole answer, %d arrivals", call.ID,
			call.Instance, call.Began, call.Status, found.count)
	}
}

func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func outcome(call Call) string {
	switch {
	case call.Unsent:
		return "unsent"
	case !call.Complete:
		return "cut"
	default:
		return fmt.Sprint(call.Status)
	}
}

// Counts returns how many requests had each outcome.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for name, count := range l.counts {
		counts[name] = count
	}
	for service, repeats := range l.repeats {
		counts["repeats of "+service] = len(repeats)
	}
	return counts
}

// Budget bounds the repeats of a service.
type Budget struct {
	Part   float64
	Slack  float64
	Window time.Duration
}

// CheckRepeats compares the repeats of each service with the budget, in windows of its length.
func (l *Ledger) CheckRepeats(budget Budget, end time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, repeats := range l.repeats {
		for at := time.Duration(0); at < end; at += budget.Window / 10 {
			count := within(repeats, at, budget.Window)
			asked := max(within(l.asked[service], at, budget.Window), within(l.asked[service], at-budget.Window/2, budget.Window),
				within(l.asked[service], at-budget.Window, budget.Window))
			if allowed := budget.Part*float64(asked) + budget.Slack; float64(count) > allowed {
				l.add(at+budget.Window, Repeats, "%d repeats of %s in %v with %d requests, allowed are %.0f", count, service, budget.Window,
					asked, allowed)
				break
			}
		}
	}
}

func within(moments []time.Duration, from, length time.Duration) int {
	count := 0
	for _, moment := range moments {
		if moment >= from && moment < from+length {
			count++
		}
	}
	return count
}

// Broken returns the promises that were not kept, in the order in which it was seen.
func (l *Ledger) Broken() []Broken {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Broken(nil), l.broken...)
}
