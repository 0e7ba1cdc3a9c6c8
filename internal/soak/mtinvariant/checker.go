package mtinvariant

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Invariant is the name of a property that the gateway guarantees.
type Invariant string

// The invariants.
const (
	// AtMostOnce: a request that is not idempotent runs at most once for each attempt of its caller.
	AtMostOnce Invariant = "once"
	// RefusedNotRun: a request that is not idempotent and was refused with 503 or 429 has not run and does not run
	// later.
	RefusedNotRun Invariant = "not-run"
	// Unaltered: a request, and an answer that ends in order, arrive as they were sent.
	Unaltered Invariant = "whole"
	// Answered: a request at an instance without a fault is answered.
	Answered Invariant = "answered"
	// WithinTimeout: an answer from an instance without a fault comes within the time-out of the caller.
	WithinTimeout Invariant = "in-time"
	// DrainedIdle: an endpoint that is registered as draining gets no more requests.
	DrainedIdle Invariant = "leaving"
	// LimitKept: an endpoint gets from all instances that it has told no more requests than the limit that it names.
	LimitKept Invariant = "limit"
	// EvacuatedIdle: an endpoint of an evacuated zone gets no more requests.
	EvacuatedIdle Invariant = "evacuated"
	// ColdRateKept: a cold endpoint gets from all instances no more requests in a second than its service allows.
	ColdRateKept Invariant = "cold"
	// VersionsMonotonic: an instance never reverts to an older configuration.
	VersionsMonotonic Invariant = "no-step-back"
	// ConfigApplied: all instances apply a configuration in time.
	ConfigApplied Invariant = "in-force"
	// KeysRevoked: from the time in which configurations must be applied on, a request with a removed key does not run.
	KeysRevoked Invariant = "key-removed"
	// KeysKnown: from that time on, no request with a key of the configuration gets 401, which is final.
	KeysKnown Invariant = "key-known"
	// QuotaKept: all instances together run no more requests of a tenant than its quota.
	QuotaKept Invariant = "quota"
	// RetriesBounded: the retries of all instances together stay within the budget.
	RetriesBounded Invariant = "repeats"
	// MemoryKept: a process stays within the memory of its settings.
	MemoryKept Invariant = "memory"
	// Recovers: each instance serves all requests again after the faults.
	Recovers Invariant = "recovers"
)

// timingDependent are the invariants that fail on a machine that lacks the processor time for the run.
var timingDependent = map[Invariant]bool{
	WithinTimeout:  true,
	DrainedIdle:    true,
	LimitKept:      true,
	EvacuatedIdle:  true,
	ColdRateKept:   true,
	ConfigApplied:  true,
	KeysRevoked:    true,
	RetriesBounded: true,
}

// Violation is one case in which an invariant does not hold.
type Violation struct {
	// At is the time since the start of the run.
	At        time.Duration
	Invariant Invariant
	Detail    string
}

// String returns the violation as one line without a line feed.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs broken %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// CallResult is how one request ended for its caller.
type CallResult struct {
	ID         string
	Service    string
	Idempotent bool
	Instance   int
	// BeganAt and EndedAt are the times since the start of the run.
	BeganAt time.Duration
	EndedAt time.Duration
	// CallerTimeout is the time-out that the caller has sent to the gateway.
	CallerTimeout time.Duration
	// Status is that of the answer, or 0 when none came. Complete is set when all of it came, and Correct when it is
	// the expected one.
	Status   int
	Complete bool
	Correct  bool
	// Unsent is set when the instance accepted no connection.
	Unsent bool
	// InstanceStopping is set when the instance was signalled to stop before the call ended, and the caller's read did
	// not time out.
	InstanceStopping bool
	// InstanceFault is set when the instance or the network path to it had a fault meanwhile.
	InstanceFault bool
	// EndpointFault is set when endpoints or the network paths to them had a fault meanwhile, which may truncate a long
	// answer.
	EndpointFault bool
}

// requestRecord is what callers and endpoints have reported of one request.
type requestRecord struct {
	service    string
	idempotent bool
	instance   int
	arrivals   int
	runs       int
	refused    bool
}

// Checker records requests and finds violations of the invariants; it is safe for concurrent use.
type Checker struct {
	skipTiming bool

	mu         sync.Mutex
	requests   map[string]*requestRecord
	sentAt     map[string][]time.Duration
	retriedAt  map[string][]time.Duration
	violations []Violation
	counts     map[string]int
}

// NewChecker returns a checker without records; skipTiming only counts violations of invariants that need processor
// time.
func NewChecker(skipTiming bool) *Checker {
	return &Checker{
		skipTiming: skipTiming,
		requests:   map[string]*requestRecord{},
		sentAt:     map[string][]time.Duration{},
		retriedAt:  map[string][]time.Duration{},
		counts:     map[string]int{},
	}
}

// Report records a violation.
func (c *Checker) Report(at time.Duration, invariant Invariant, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(at, invariant, format, values...)
}

// reportLocked does as Report; the mutex is held.
func (c *Checker) reportLocked(at time.Duration, invariant Invariant, format string, values ...any) {
	if c.skipTiming && timingDependent[invariant] {
		c.counts["untimed "+string(invariant)]++
		return
	}
	c.violations = append(c.violations, Violation{
		At:        at,
		Invariant: invariant,
		Detail:    fmt.Sprintf(format, values...),
	})
}

// record returns the record of a request and adds it first if it is new; the mutex is held.
func (c *Checker) record(id string) *requestRecord {
	if c.requests[id] == nil {
		c.requests[id] = &requestRecord{}
	}
	return c.requests[id]
}

// RequestSent records that a caller sends a request to an instance.
func (c *Checker) RequestSent(id, service string, idempotent bool, instance int, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.record(id)
	request.service = service
	request.idempotent = idempotent
	request.instance = instance
	c.sentAt[service] = append(c.sentAt[service], now)
}

// RequestArrived records that a request has arrived at an endpoint and returns the index of the instance that its
// caller has sent it to.
func (c *Checker) RequestArrived(id string, now time.Duration) (instance int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.record(id)
	request.arrivals++
	if request.arrivals > 1 {
		c.retriedAt[request.service] = append(c.retriedAt[request.service], now)
	}
	return request.instance
}

// RequestRan records that an endpoint runs a request.
func (c *Checker) RequestRan(id, endpoint string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.record(id)
	request.runs++
	switch {
	case request.idempotent:
	case request.runs > 1:
		c.reportLocked(now, AtMostOnce, "request %s runs for the %d. time, at %s", id, request.runs, endpoint)
	case request.refused:
		c.reportLocked(now, RefusedNotRun, "request %s runs at %s after it was refused as not run", id, endpoint)
	}
}

// RequestEnded records how a request ended for its caller.
func (c *Checker) RequestEnded(result CallResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.record(result.ID)
	c.counts[outcomeName(result)]++
	switch {
	case result.Unsent:
		return
	case !result.Complete:
		c.checkIncomplete(result, request)
	case isRefusal(result.Status) && !result.Idempotent:
		request.refused = true
		if request.runs > 0 {
			c.reportLocked(result.EndedAt, RefusedNotRun, "request %s was answered %d by instance %d and has run",
				result.ID, result.Status, result.Instance)
		}
	case result.Status == http.StatusOK && !result.Correct:
		c.reportLocked(result.EndedAt, Unaltered, "request %s got a wrong answer from instance %d", result.ID,
			result.Instance)
	}
	if result.Complete && !result.InstanceFault &&
		result.EndedAt-result.BeganAt > result.CallerTimeout+timeoutTolerance {
		c.reportLocked(result.EndedAt, WithinTimeout, "request %s was answered by instance %d after %v", result.ID,
			result.Instance, result.EndedAt-result.BeganAt)
	}
}

// timeoutTolerance is how much longer than the time-out of its caller a call may take.
const timeoutTolerance = 500 * time.Millisecond

// checkIncomplete checks a request without a complete answer; the mutex is held.
func (c *Checker) checkIncomplete(result CallResult, request *requestRecord) {
	switch {
	case result.InstanceFault, result.Status != 0 && result.EndpointFault:
	case result.InstanceStopping && request.arrivals == 0:
		// The instance was stopping and closed the connection at the moment at which the request came.
		c.counts["came as the instance closed"]++
	default:
		c.reportLocked(result.EndedAt, Answered,
			"request %s at instance %d, begun at %v: status %d, incomplete answer, %d arrivals", result.ID,
			result.Instance, result.BeganAt, result.Status, request.arrivals)
	}
}

func isRefusal(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func outcomeName(result CallResult) string {
	switch {
	case result.Unsent:
		return "unsent"
	case !result.Complete:
		return "cut"
	default:
		return fmt.Sprint(result.Status)
	}
}

// Counts returns the number of requests by outcome and of retries by service.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, count := range c.counts {
		counts[name] = count
	}
	for service, retries := range c.retriedAt {
		counts["repeats of "+service] = len(retries)
	}
	return counts
}

// CountKey counts the status of a request with a key that is the newest or removed.
func (c *Checker) CountKey(name string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[fmt.Sprintf("%s key %d", name, status)]++
}

// RetryBudget bounds the retries of a service in each window to a ratio of its requests plus BaseRetries.
type RetryBudget struct {
	Ratio       float64
	BaseRetries float64
	Window      time.Duration
}

// CheckRetries compares the retries of each service with the budget, in overlapping windows of its length.
func (c *Checker) CheckRetries(budget RetryBudget, end time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, retries := range c.retriedAt {
		for at := time.Duration(0); at < end; at += budget.Window / 10 {
			count := countInWindow(retries, at, budget.Window)
			sent := max(countInWindow(c.sentAt[service], at, budget.Window),
				countInWindow(c.sentAt[service], at-budget.Window/2, budget.Window),
				countInWindow(c.sentAt[service], at-budget.Window, budget.Window))
			if allowed := budget.Ratio*float64(sent) + budget.BaseRetries; float64(count) > allowed {
				c.reportLocked(at+budget.Window, RetriesBounded,
					"%d repeats of %s in %v with %d requests, allowed are %.0f", count, service, budget.Window,
					sent, allowed)
				break
			}
		}
	}
}

func countInWindow(times []time.Duration, from, length time.Duration) int {
	count := 0
	for _, t := range times {
		if t >= from && t < from+length {
			count++
		}
	}
	return count
}

// Violations returns the violations in the order in which they were found.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}
