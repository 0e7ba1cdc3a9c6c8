// Lock order: Router.mu before serviceQueue.mu. A call takes Router.mu for reading only to find the queue of its
// service. All other work on a call is done under the mutex of that queue, so services do not wait for each other.

package mtrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Router chooses an endpoint for each call. It is safe for concurrent use.
type Router struct {
	instance string
	centre   string
	mu       sync.RWMutex
	// queues are the queues by service.
	queues map[string]*serviceQueue
}

// NewRouter returns the router of an entry instance in a data centre.
func NewRouter(instance, centre string) *Router {
	return &Router{
		instance: instance,
		centre:   centre,
		queues:   map[string]*serviceQueue{},
	}
}

// ServiceUpdate is the present record, endpoints and assignment of one service.
type ServiceUpdate struct {
	Service *recordv1.Service
	// Endpoints are the entries of the service in the instance list.
	Endpoints []*platformv1.Instance
	// IsLeaving reports whether an endpoint has a leaving mark.
	IsLeaving func(instance string) bool
	// AssignedInstances lists the entry instances that are assigned to the service.
	AssignedInstances []mtrendezvous.Node
}

// UpdateService replaces the record, the endpoints and the assignment of a service.
func (r *Router) UpdateService(update ServiceUpdate, now time.Time) {
	r.queue(update.Service.GetName()).update(update, r.instance, now)
}

// queue returns the queue of a service and creates it if needed.
func (r *Router) queue(service string) *serviceQueue {
	r.mu.RLock()
	queue := r.queues[service]
	r.mu.RUnlock()
	if queue != nil {
		return queue
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queues[service] == nil {
		r.queues[service] = newServiceQueue(r.centre)
	}
	return r.queues[service]
}

// Acquire waits for a lease on an endpoint other than avoidEndpoint, or on that endpoint if there is no other. An error
// is the refusal of a call that did not run.
func (r *Router) Acquire(ctx context.Context, call *mtcall.Call, avoidEndpoint string) (*Lease, error) {
	return r.queue(call.Service.GetName()).acquire(ctx, call, avoidEndpoint)
}

// MedianLatency returns the median over the service's usable endpoints of their smoothed latency, or 0 before the first
// answer.
func (r *Router) MedianLatency(service string) time.Duration {
	return r.queue(service).latency(time.Now())
}

// WaitingCalls returns the number of calls that wait for an endpoint.
func (r *Router) WaitingCalls() int {
	total := 0
	r.forEachService(func(_ string, queue *serviceQueue) {
		queue.mu.Lock()
		defer queue.mu.Unlock()
		total += queue.dispatcher.Len()
	})
	return total
}

// VisitEndpoints calls visit for each endpoint of each service, with the lock of the service held.
func (r *Router) VisitEndpoints(visit func(service string, endpoint *mtendpoint.Endpoint)) {
	r.forEachService(func(service string, queue *serviceQueue) {
		queue.mu.Lock()
		defer queue.mu.Unlock()
		for _, endpoint := range queue.dispatcher.Endpoints() {
			visit(service, endpoint)
		}
	})
}

// Tick grants waiting calls the slots that became free without the end of a call, and refuses the calls whose deadline
// has passed.
func (r *Router) Tick(now time.Time) {
	r.forEachService(func(_ string, queue *serviceQueue) {
		queue.tick(now)
	})
}

func (r *Router) forEachService(visit func(service string, queue *serviceQueue)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for service, queue := range r.queues {
		visit(service, queue)
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
