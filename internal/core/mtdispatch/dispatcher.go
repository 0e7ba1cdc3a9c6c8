// A call is bound late: it waits here, not at an endpoint, until a slot is believed free, so a call never sits behind a
// slow one while another endpoint idles. The flow of one call:
//
//	Offer -> queue -> Bind (when a slot is free) -> sent -> End -> Bind for the next
//	         |-> Expire, Cancel or a drop: the call did not run
//
// Bind prefers endpoints that this instance leads, then those of the own data centre, then the emptiest, and among equals
// the draw decides, so that instances that share a report do not all choose the same endpoint. Ejected endpoints are
// passed over until half of the pool is ejected; beyond that the failures tell more of the calls than of the endpoints.

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
	queuePerSlot  = 16
	queueSmallest = 64
	// patience is how long the first call waits although every slot looks taken while none of the own calls runs.
	patience = 20 * time.Millisecond
	// medianLife is how long the typical latency is used before it is computed again.
	medianLife = 20 * time.Millisecond
	// forever is longer than any deadline.
	forever = 1 << 62
)

var (
	namespace = errorx.NewNamespace("dispatch")
	// Late is the type of the error for a call whose deadline comes before its turn.
	Late = namespace.NewType("late")
	// Empty is the type of the error for a service all of whose endpoints leave, or that has none.
	Empty = namespace.NewType("empty")
)

// Dispatcher holds the waiting calls and the endpoints of one service.
type Dispatcher struct {
	centre    string
	endpoints []*mtendpoint.Endpoint
	queue     *mtqueue.Queue
	avoid     map[uint64]string
	idleSince time.Time
	// median is the typical latency of an endpoint as it was at the moment measured.
	median   time.Duration
	measured time.Time
	// The slices below are reused, because callers hold a lock and must not wait for the collector.
	staying   []*mtendpoint.Endpoint
	healthy   []*mtendpoint.Endpoint
	latencies []time.Duration
}

// Grant binds a waiting call to an endpoint.
type Grant struct {
	ID       uint64
	Team     string
	Endpoint *mtendpoint.Endpoint
}

// NewDispatcher returns a dispatcher without endpoints for an instance in a data centre.
func NewDispatcher(centre string) *Dispatcher {
	return &Dispatcher{
		centre: centre,
		queue:  mtqueue.NewQueue(queueSmallest),
		avoid:  map[uint64]string{},
	}
}

// SetEndpoints replaces the list of endpoints; an endpoint that stays must be passed with its old pointer.
func (d *Dispatcher) SetEndpoints(endpoints []*mtendpoint.Endpoint) {
	slices.SortFunc(endpoints, func(a, b *mtendpoint.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
	d.endpoints = endpoints
	d.queue.Limit(max(queueSmallest, int(queuePerSlot*d.slots())))
}

// Endpoints returns the endpoints by name.
func (d *Dispatcher) Endpoints() []*mtendpoint.Endpoint {
	return d.endpoints
}

// Len returns the number of calls that wait.
func (d *Dispatcher) Len() int {
	return d.queue.Len()
}

func (d *Dispatcher) slots() float64 {
	sum := 0.0
	for _, endpoint := range d.endpoints {
		sum += endpoint.Slots
	}
	return sum
}

// Offer adds a call that must not go to the endpoint named avoid; dropped are calls that lost their place to it.
func (d *Dispatcher) Offer(id uint64, team, avoid string, deadline, now time.Time) (dropped []uint64, err error) {
	if len(d.usable(now)) == 0 {
		return nil, Empty.New("%d endpoints are listed, none of them stays", len(d.endpoints))
	}
	if wait := d.wait(now); now.Add(wait).After(deadline) {
		return nil, Late.New("the expected wait is %s, %s are left", wait, deadline.Sub(now))
	}
	if avoid != "" {
		d.avoid[id] = avoid
	}
	if victim, full := d.queue.Push(id, team, deadline); full {
		delete(d.avoid, victim)
		dropped = append(dropped, victim)
	}
	return dropped, nil
}

// wait estimates how long a call that comes now waits for its turn.
func (d *Dispatcher) wait(now time.Time) time.Duration {
	if d.queue.Len() == 0 {
		return 0
	}
	return time.Duration(float64(d.queue.Len()) * float64(d.Latency(now)) / max(1, d.slots()))
}

// Latency returns the median over the usable endpoints of the smoothed time of an answer, or 0 before the first answer.
func (d *Dispatcher) Latency(now time.Time) time.Duration {
	if now.Sub(d.measured) < medianLife {
		return d.median
	}
	d.measured = now
	d.latencies = d.latencies[:0]
	for _, endpoint := range d.usable(now) {
		if latency := endpoint.Latency(); latency > 0 {
			d.latencies = append(d.latencies, latency)
		}
	}
	d.median = 0
	if len(d.latencies) > 0 {
		slices.Sort(d.latencies)
		d.median = d.latencies[len(d.latencies)/2]
	}
	return d.median
}

// Bind binds as many waiting calls as there are free slots.
func (d *Dispatcher) Bind(now time.Time, random *rand.Rand) []Grant {
	var grants []Grant
	for d.queue.Len() > 0 {
		endpoint := d.choose(now, random)
		if endpoint == nil {
			break
		}
		id, team, _ := d.queue.Pop()
		if d.avoid[id] == endpoint.Name {
			endpoint = d.other(endpoint, now, random)
		}
		delete(d.avoid, id)
		endpoint.Start()
		grants = append(grants, Grant{
			ID:       id,
			Team:     team,
			Endpoint: endpoint,
		})
	}
	return grants
}

func (d *Dispatcher) choose(now time.Time, random *rand.Rand) *mtendpoint.Endpoint {
	usable := d.usable(now)
	if best := d.best(usable, now, random, 1); best != nil {
		d.idleSince = time.Time{}
		return best
	}
	if len(usable) == 0 || d.inflight() > 0 {
		d.idleSince = time.Time{}
		return nil
	}
	if d.idleSince.IsZero() {
		d.idleSince = now
	}
	if now.Sub(d.idleSince) < patience {
		return nil
	}
	d.idleSince = time.Time{}
	return d.best(usable, now, random, -1e9)
}

// other returns an endpoint for a call that must avoid one, or that one when there is no other.
func (d *Dispatcher) other(avoided *mtendpoint.Endpoint, now time.Time, random *rand.Rand) *mtendpoint.Endpoint {
	rest := slices.DeleteFunc(slices.Clone(d.usable(now)), func(endpoint *mtendpoint.Endpoint) bool {
		return endpoint == avoided
	})
	if best := d.best(rest, now, random, -1e9); best != nil {
		return best
	}
	return avoided
}

func (d *Dispatcher) inflight() int {
	sum := 0
	for _, endpoint := range d.endpoints {
		sum += endpoint.Inflight()
	}
	return sum
}

// usable returns the endpoints that may get calls; the slice is valid until the next call.
func (d *Dispatcher) usable(now time.Time) []*mtendpoint.Endpoint {
	d.staying = d.staying[:0]
	d.healthy = d.healthy[:0]
	for _, endpoint := range d.endpoints {
		if endpoint.Leaving {
			continue
		}
		d.staying = append(d.staying, endpoint)
		if !endpoint.IsEjected(now) {
			d.healthy = append(d.healthy, endpoint)
		}
	}
	if 2*len(d.healthy) < len(d.staying) {
		return d.staying
	}
	return d.healthy
}

func (d *Dispatcher) best(from []*mtendpoint.Endpoint, now time.Time, random *rand.Rand, least float64) *mtendpoint.Endpoint {
	var best *mtendpoint.Endpoint
	var bestScore float64
	median := d.Latency(now)
	for _, endpoint := range from {
		free := endpoint.Free(now)
		// A short wait for another endpoint beats a free slot of a straggler; a call that must go somewhere takes any.
		if free < least || least > 0 && endpoint.IsStraggler(median, now) {
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

func (d *Dispatcher) score(endpoint *mtendpoint.Endpoint, free float64) float64 {
	score := 10 * free / max(1, endpoint.Slots)
	if endpoint.Lead {
		score += 100
	}
	if endpoint.Centre == d.centre {
		score += 20
	}
	return score
}

// End ends the service of a granted call; its endpoint has been told already.
func (d *Dispatcher) End(team string) {
	d.queue.Done(team)
}

// Cancel takes a waiting call out and reports whether it had not been granted.
func (d *Dispatcher) Cancel(id uint64) bool {
	delete(d.avoid, id)
	return d.queue.Remove(id)
}

// Abandon removes all waiting calls when no endpoint is left that could serve them.
func (d *Dispatcher) Abandon(now time.Time) []uint64 {
	if len(d.usable(now)) > 0 {
		return nil
	}
	return d.Expire(now.Add(forever))
}

// Expire removes the waiting calls whose deadline has come.
func (d *Dispatcher) Expire(now time.Time) []uint64 {
	expired := d.queue.Expire(now)
	for _, id := range expired {
		delete(d.avoid, id)
	}
	return expired
}
