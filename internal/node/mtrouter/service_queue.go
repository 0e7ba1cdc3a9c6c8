package mtrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtdispatch"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

const (
	// busyRetryDelay is the delay before a retry that a caller is sent when the queue is full or its deadline would
	// pass in the queue.
	busyRetryDelay = 100 * time.Millisecond
	// unreachedRetryDelay is the delay before a retry that a caller is sent when the service has no endpoint to serve
	// it.
	unreachedRetryDelay = time.Second
)

// serviceQueue holds the waiting calls of one service and the dispatcher that chooses their endpoints.
type serviceQueue struct {
	mu         sync.Mutex
	dispatcher *mtdispatch.Dispatcher
	random     *rand.Rand
	// queuedCalls is the number of waiting calls; it lets a tick without waiting calls return without a lock.
	queuedCalls atomic.Int64
	// results has a channel for each waiting call, by the number of the call.
	results map[uint64]chan acquireResult
	lastID  uint64
}

// acquireResult is a lease or the refusal of a waiting call.
type acquireResult struct {
	lease   *Lease
	refusal *mtrefusal.Refusal
}

func newServiceQueue(centre string) *serviceQueue {
	return &serviceQueue{
		dispatcher: mtdispatch.NewDispatcher(centre),
		random:     newRandom(),
		results:    map[uint64]chan acquireResult{},
	}
}

func (q *serviceQueue) acquire(ctx context.Context, call *mtcall.Call, avoidEndpoint string) (*Lease, error) {
	id, resultChannel, err := q.enqueue(call, avoidEndpoint)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-resultChannel:
		return result.unpack()
	case <-ctx.Done():
	}
	if q.cancel(id) {
		return nil, cancellationRefusal(ctx)
	}
	result := <-resultChannel
	if result.lease != nil {
		result.lease.Abandon()
	}
	return nil, cancellationRefusal(ctx)
}

func (r acquireResult) unpack() (*Lease, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.lease, nil
}

// cancellationRefusal returns the refusal of a call whose context ended while it waited.
func cancellationRefusal(ctx context.Context) *mtrefusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mtrefusal.NewNotRun(mtrefusal.Deadline, "the deadline came before an endpoint was free")
	}
	return mtrefusal.NewNotRun(mtrefusal.Cancelled, "the caller left before an endpoint was free")
}

// enqueue adds a call to the queue, grants leases for free slots, and returns the number of the call and the channel
// for its result. An error is the refusal of the call.
func (q *serviceQueue) enqueue(call *mtcall.Call, avoidEndpoint string) (uint64, chan acquireResult, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.lastID++
	id := q.lastID
	resultChannel := make(chan acquireResult, 1)
	q.results[id] = resultChannel
	dropped, err := q.dispatcher.Enqueue(id, call.Tenant(), avoidEndpoint, call.Deadline, now)
	if err != nil {
		delete(q.results, id)
		return 0, nil, dispatchRefusal(err)
	}
	for _, droppedID := range dropped {
		q.refuse(droppedID, mtrefusal.NewNotRun(mtrefusal.Busy, "the queue is full").WithRetryAfter(busyRetryDelay))
	}
	q.grantLeases(now)
	q.queuedCalls.Store(int64(q.dispatcher.Len()))
	return id, resultChannel, nil
}

// dispatchRefusal returns the refusal of a call that the dispatcher did not accept.
func dispatchRefusal(err error) *mtrefusal.Refusal {
	if errorx.IsOfType(err, mtdispatch.WouldMissDeadline) {
		return mtrefusal.NewNotRun(mtrefusal.Busy, "%s", errorMessage(err)).WithRetryAfter(busyRetryDelay)
	}
	return mtrefusal.NewNotRun(mtrefusal.EndpointUnreachable, "%s", errorMessage(err)).WithRetryAfter(unreachedRetryDelay)
}

// errorMessage returns the message of an error without the name of its type.
func errorMessage(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

// grantLeases gives waiting calls leases on the endpoints that have free slots; q.mu must be held.
func (q *serviceQueue) grantLeases(now time.Time) {
	for _, grant := range q.dispatcher.Dispatch(now, q.random) {
		q.deliver(grant.CallID, acquireResult{
			lease: &Lease{
				EndpointName: grant.Endpoint.Name,
				Address:      grant.Endpoint.Address,
				queue:        q,
				endpoint:     grant.Endpoint,
				team:         grant.Team,
				started:      now,
			},
		})
	}
}

// deliver sends the result to a waiting call; q.mu must be held.
func (q *serviceQueue) deliver(id uint64, result acquireResult) {
	q.results[id] <- result
	delete(q.results, id)
}

func (q *serviceQueue) refuse(id uint64, refusal *mtrefusal.Refusal) {
	q.deliver(id, acquireResult{
		refusal: refusal,
	})
}

// cancel removes a call from the queue and reports whether it was still waiting.
func (q *serviceQueue) cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.dispatcher.Cancel(id) {
		return false
	}
	delete(q.results, id)
	return true
}

// tick refuses calls whose deadline has passed and grants leases for slots that became free.
func (q *serviceQueue) tick(now time.Time) {
	if q.queuedCalls.Load() == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, id := range q.dispatcher.Expire(now) {
		q.refuse(id, mtrefusal.NewNotRun(mtrefusal.Deadline, "the deadline came before an endpoint was free"))
	}
	q.grantLeases(now)
	q.queuedCalls.Store(int64(q.dispatcher.Len()))
}

func (q *serviceQueue) latency(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dispatcher.MedianLatency(now)
}

// update replaces the endpoints of the service; an endpoint with the same name and address keeps its state.
func (q *serviceQueue) update(update ServiceUpdate, instance string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	current := map[string]*mtendpoint.Endpoint{}
	isFirstList := len(q.dispatcher.Endpoints()) == 0
	for _, endpoint := range q.dispatcher.Endpoints() {
		current[endpoint.Name+"@"+endpoint.Address] = endpoint
	}
	var endpoints []*mtendpoint.Endpoint
	leads := mtrendezvous.ChooseLeads(Places(update.Endpoints), update.AssignedInstances)
	for _, listed := range update.Endpoints {
		endpoint := current[listed.GetName()+"@"+listed.GetAddress()]
		if endpoint == nil {
			endpoint = newEndpoint(listed, isFirstList, now)
		}
		endpoint.Slots = float64(update.Service.GetSlots())
		endpoint.IsLead = leads[endpoint.Name] == instance
		endpoint.Leaving = listed.GetLeaving() || update.IsLeaving(listed.GetName())
		endpoints = append(endpoints, endpoint)
	}
	q.dispatcher.SetEndpoints(endpoints)
	for _, id := range q.dispatcher.RemoveAllIfNoEndpoint(now) {
		q.refuse(id,
			mtrefusal.NewNotRun(mtrefusal.EndpointUnreachable, "the last endpoint of the service leaves").WithRetryAfter(unreachedRetryDelay))
	}
	q.grantLeases(now)
}

// newEndpoint returns the endpoint of an entry of the instance list. Endpoints of the first list need no warm-up,
// because they ran before this instance did.
func newEndpoint(listed *platformv1.Instance, isFirstList bool, now time.Time) *mtendpoint.Endpoint {
	endpoint := &mtendpoint.Endpoint{
		Name:    listed.GetName(),
		Address: listed.GetAddress(),
		Centre:  listed.GetCentre(),
	}
	if !isFirstList {
		endpoint.FirstListedAt = now
	}
	return endpoint
}

// Places returns the names and data centres of entries of the instance list.
func Places(listed []*platformv1.Instance) []mtrendezvous.Node {
	var result []mtrendezvous.Node
	for _, instance := range listed {
		result = append(result, mtrendezvous.Node{
			Name:   instance.GetName(),
			Centre: instance.GetCentre(),
		})
	}
	return result
}
