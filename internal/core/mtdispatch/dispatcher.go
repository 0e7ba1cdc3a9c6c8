// A call is assigned late: it waits in the queue of this instance, not at an endpoint, until an endpoint has a free
// slot by this instance's estimate. So no call waits behind a slow one while another endpoint is idle. The flow of one
// call:
//
//	Enqueue -> queue -> Dispatch (when a slot is free) -> sent -> Complete -> Dispatch for the next
//	         |-> Expire, Cancel or a drop: the call did not run
//
// Dispatch prefers endpoints that this instance leads, then endpoints of its own data centre, then those with the largest
// share of free slots. A random part of the score breaks ties, so that instances that know the same load report do not
// all choose the same endpoint. Ejected endpoints are skipped unless more than half of the endpoints that aren't
// leaving are ejected, because failures of so many endpoints are more likely caused by the calls than by the endpoints.

package mtdispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtqueue"
)

const (
	queueCapacityPerSlot = 16
	minQueueCapacity     = 64
	// maxBlockedTime is how long the next call waits while no slot is estimated free although this instance has no
	// calls in flight.
	maxBlockedTime = 20 * time.Millisecond
	// medianLatencyTTL is how long the median latency is used before it is computed again.
	medianLatencyTTL = 20 * time.Millisecond
	// beyondAnyDeadline, in nanoseconds from now, is later than any deadline.
	beyondAnyDeadline = 1 << 62
)

var (
	namespace = errorx.NewNamespace("dispatch")
	// WouldMissDeadline is the type of the error for a call whose expected wait exceeds the time left until its deadline.
	WouldMissDeadline = namespace.NewType("late")
	// NoUsableEndpoint is the type of the error for a service that has no endpoints or only endpoints that leave.
	NoUsableEndpoint = namespace.NewType("empty")
)

// Dispatcher assigns the waiting calls of one service to its endpoints.
type Dispatcher struct {
	centre    string
	endpoints []*mtendpoint.Endpoint
	queue     *mtqueue.Queue
	// avoidedEndpoints maps the ID of a waiting call to the name of the endpoint that it goes to only if
	// no other is usable.
	avoidedEndpoints map[uint64]string
	// blockedSince is when calls began to wait without a free slot and without calls in flight; zero otherwise.
	blockedSince time.Time
	// medianLatency is the median latency of the usable endpoints at medianComputedAt.
	medianLatency    time.Duration
	medianComputedAt time.Time
	// The slices below are reused to avoid garbage collection, because callers hold a lock.
	notLeaving []*mtendpoint.Endpoint
	healthy    []*mtendpoint.Endpoint
	latencies  []time.Duration
}

// Assignment is the assignment of a call that waited to an endpoint.
type Assignment struct {
	CallID   uint64
	Team     string
	Endpoint *mtendpoint.Endpoint
}

// NewDispatcher returns a dispatcher without endpoints for an instance in the data centre.
func NewDispatcher(centre string) *Dispatcher {
	return &Dispatcher{
		centre:           centre,
		queue:            mtqueue.NewQueue(minQueueCapacity),
		avoidedEndpoints: map[uint64]string{},
	}
}

// SetEndpoints replaces the list of endpoints; an endpoint that was listed before must be passed with its old pointer.
func (d *Dispatcher) SetEndpoints(endpoints []*mtendpoint.Endpoint) {
	slices.SortFunc(endpoints, func(a, b *mtendpoint.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
	d.endpoints = endpoints
	d.queue.SetCapacity(max(minQueueCapacity, int(queueCapacityPerSlot*d.totalSlots())))
}

// Endpoints returns the endpoints in the order of their names.
func (d *Dispatcher) Endpoints() []*mtendpoint.Endpoint {
	return d.endpoints
}

// Len returns the number of waiting calls.
func (d *Dispatcher) Len() int {
	return d.queue.Len()
}

func (d *Dispatcher) totalSlots() float64 {
	sum := 0.0
	for _, endpoint := range d.endpoints {
		sum += endpoint.Slots
	}
	return sum
}

// Enqueue adds a call to the queue. The call goes to avoidedEndpoint only if no other endpoint is usable; an empty name
// allows all. The dropped calls were removed because the queue is full, possibly the added call itself. After an error,
// which is of type [NoUsableEndpoint] or [Late], the call is not in the queue.
func (d *Dispatcher) Enqueue(
	id uint64, team, avoidedEndpoint string, deadline, now time.Time,
) (dropped []uint64, err error) {
	if len(d.usableEndpoints(now)) == 0 {
		return nil, NoUsableEndpoint.New("%d endpoints are listed, none of them stays", len(d.endpoints))
	}
	if wait := d.expectedWait(now); now.Add(wait).After(deadline) {
		return nil, WouldMissDeadline.New("the expected wait is %s, %s are left", wait, deadline.Sub(now))
	}
	if avoidedEndpoint != "" {
		d.avoidedEndpoints[id] = avoidedEndpoint
	}
	if victim, full := d.queue.Push(id, team, deadline); full {
		delete(d.avoidedEndpoints, victim)
		dropped = append(dropped, victim)
	}
	return dropped, nil
}

// expectedWait estimates how long a call that is added now waits for a free slot.
func (d *Dispatcher) expectedWait(now time.Time) time.Duration {
	if d.queue.Len() == 0 {
		return 0
	}
	return time.Duration(float64(d.queue.Len()) * float64(d.MedianLatency(now)) / max(1, d.totalSlots()))
}

// MedianLatency returns the median of the smoothed latencies of the usable endpoints, or 0 before the first answer.
func (d *Dispatcher) MedianLatency(now time.Time) time.Duration {
	if now.Sub(d.medianComputedAt) < medianLatencyTTL {
		return d.medianLatency
	}
	d.medianComputedAt = now
	d.latencies = d.latencies[:0]
	for _, endpoint := range d.usableEndpoints(now) {
		if latency := endpoint.Latency(); latency > 0 {
			d.latencies = append(d.latencies, latency)
		}
	}
	d.medianLatency = 0
	if len(d.latencies) > 0 {
		slices.Sort(d.latencies)
		d.medianLatency = d.latencies[len(d.latencies)/2]
	}
	return d.medianLatency
}

// Dispatch assigns waiting calls to endpoints until no call waits or no slot is estimated free.
func (d *Dispatcher) Dispatch(now time.Time, random *rand.Rand) []Assignment {
	var assignments []Assignment
	for d.queue.Len() > 0 {
		endpoint := d.chooseEndpoint(now, random)
		if endpoint == nil {
			break
		}
		id, team, _ := d.queue.Pop()
		if d.avoidedEndpoints[id] == endpoint.Name {
			endpoint = d.chooseOtherEndpoint(endpoint, now, random)
		}
		delete(d.avoidedEndpoints, id)
		endpoint.StartCall()
		assignments = append(assignments, Assignment{
			CallID:   id,
			Team:     team,
			Endpoint: endpoint,
		})
	}
	return assignments
}

// chooseEndpoint returns the best endpoint with a free slot, or nil when the next call must wait. When no slot is
// estimated free although none of this instance's calls is in flight, it returns the best endpoint after
// maxBlockedTime.
func (d *Dispatcher) chooseEndpoint(now time.Time, random *rand.Rand) *mtendpoint.Endpoint {
	usable := d.usableEndpoints(now)
	if best := d.bestEndpoint(usable, now, random, 1); best != nil {
		d.blockedSince = time.Time{}
		return best
	}
	if len(usable) == 0 || d.totalInflight() > 0 {
		d.blockedSince = time.Time{}
		return nil
	}
	if d.blockedSince.IsZero() {
		d.blockedSince = now
	}
	if now.Sub(d.blockedSince) < maxBlockedTime {
		return nil
	}
	d.blockedSince = time.Time{}
	return d.bestEndpoint(usable, now, random, -1e9)
}

// chooseOtherEndpoint returns the best usable endpoint but the avoided one, or the avoided one if there is no other.
func (d *Dispatcher) chooseOtherEndpoint(
	avoided *mtendpoint.Endpoint, now time.Time, random *rand.Rand,
) *mtendpoint.Endpoint {
	others := slices.DeleteFunc(slices.Clone(d.usableEndpoints(now)), func(endpoint *mtendpoint.Endpoint) bool {
		return endpoint == avoided
	})
	if best := d.bestEndpoint(others, now, random, -1e9); best != nil {
		return best
	}
	return avoided
}

func (d *Dispatcher) totalInflight() int {
	sum := 0
	for _, endpoint := range d.endpoints {
		sum += endpoint.Inflight()
	}
	return sum
}

// usableEndpoints returns the endpoints that may receive calls. The slice is valid until the next call of this method.
func (d *Dispatcher) usableEndpoints(now time.Time) []*mtendpoint.Endpoint {
	d.notLeaving = d.notLeaving[:0]
	d.healthy = d.healthy[:0]
	for _, endpoint := range d.endpoints {
		if endpoint.Leaving {
			continue
		}
		d.notLeaving = append(d.notLeaving, endpoint)
		if !endpoint.IsEjected(now) {
			d.healthy = append(d.healthy, endpoint)
		}
	}
	if 2*len(d.healthy) < len(d.notLeaving) {
		return d.notLeaving
	}
	return d.healthy
}

// bestEndpoint returns the endpoint with the highest score among the candidates with at least minFree free slots, or
// nil. Stragglers are skipped if minFree is above 0.
func (d *Dispatcher) bestEndpoint(
	candidates []*mtendpoint.Endpoint, now time.Time, random *rand.Rand, minFree float64,
) *mtendpoint.Endpoint {
	var best *mtendpoint.Endpoint
	var bestScore float64
	median := d.MedianLatency(now)
	for _, endpoint := range candidates {
		free := endpoint.FreeSlots(now)
		// A short wait for another endpoint is better than a free slot of a straggler. With minFree below 0 the call
		// must be assigned now, so any endpoint will do.
		if free < minFree || minFree > 0 && endpoint.IsStraggler(median, now) {
			continue
		}
		score := d.score(endpoint, free) + random.Float64()
		if best == nil || score > bestScore {
			best = endpoint
			bestScore = score
		}
	}
	return best
}

// score rates an endpoint by its share of free slots; a lead of this instance outweighs the data centre, and the data
// centre outweighs the free slots.
func (d *Dispatcher) score(endpoint *mtendpoint.Endpoint, free float64) float64 {
	score := 10 * free / max(1, endpoint.Slots)
	if endpoint.IsLead {
		score += 100
	}
	if endpoint.Centre == d.centre {
		score += 20
	}
	return score
}

// Complete records that an assigned call of a team has ended. The caller updates the endpoint before.
func (d *Dispatcher) Complete(team string) {
	d.queue.Done(team)
}

// Cancel removes a waiting call and reports whether the call was still waiting.
func (d *Dispatcher) Cancel(id uint64) bool {
	delete(d.avoidedEndpoints, id)
	return d.queue.Remove(id)
}

// RemoveAllIfNoEndpoint removes all waiting calls if no endpoint is usable, and returns their IDs.
func (d *Dispatcher) RemoveAllIfNoEndpoint(now time.Time) []uint64 {
	if len(d.usableEndpoints(now)) > 0 {
		return nil
	}
	return d.Expire(now.Add(beyondAnyDeadline))
}

// Expire removes the waiting calls whose deadline has been reached, and returns their IDs.
func (d *Dispatcher) Expire(now time.Time) []uint64 {
	expired := d.queue.Expire(now)
	for _, id := range expired {
		delete(d.avoidedEndpoints, id)
	}
	return expired
}
