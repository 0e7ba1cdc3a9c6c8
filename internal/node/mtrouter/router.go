// Lock order: Router.mu before desk.mu. A call takes Router.mu for reading only to find its desk; everything else of a
// call happens under the mutex of its service's desk, so services do not wait for each other.

package mtrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Router finds an endpoint for each call; it is safe for use by many goroutines.
type Router struct {
	instance string
	centre   string
	mu       sync.RWMutex
	desks    map[string]*desk
}

// NewRouter returns the router of an entry instance.
func NewRouter(instance, centre string) *Router {
	return &Router{
		instance: instance,
		centre:   centre,
		desks:    map[string]*desk{},
	}
}

// Update describes what the platform and the members say of one service.
type Update struct {
	Service *recordv1.Service
	// Endpoints are the service's lines of the instance list.
	Endpoints []*platformv1.Instance
	// Leaving tells which endpoints are marked.
	Leaving func(instance string) bool
	// Crew are the entry instances that carry the service.
	Crew []mtcrew.Place
}

// Update takes in what is known of a service.
func (r *Router) Update(update Update, now time.Time) {
	r.desk(update.Service.GetName()).update(update, r.instance, now)
}

func (r *Router) desk(service string) *desk {
	r.mu.RLock()
	found := r.desks[service]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.desks[service] == nil {
		r.desks[service] = newDesk(r.centre)
	}
	return r.desks[service]
}

// Acquire waits until the call is bound to an endpoint other than avoid; an error is a refusal of a call that did not run.
func (r *Router) Acquire(ctx context.Context, call *mtcall.Call, avoid string) (*Lease, error) {
	return r.desk(call.Service.GetName()).acquire(ctx, call, avoid)
}

// Latency returns the time within which the service's endpoints usually answer, or 0 before the first answer.
func (r *Router) Latency(service string) time.Duration {
	return r.desk(service).latency(time.Now())
}

// Waiting returns the number of calls that wait for an endpoint.
func (r *Router) Waiting() int {
	sum := 0
	r.each(func(_ string, found *desk) {
		found.mu.Lock()
		defer found.mu.Unlock()
		sum += found.dispatcher.Len()
	})
	return sum
}

// Endpoints calls visit for each endpoint of each service.
func (r *Router) Endpoints(visit func(service string, endpoint *mtendpoint.Endpoint)) {
	r.each(func(service string, found *desk) {
		found.mu.Lock()
		defer found.mu.Unlock()
		for _, endpoint := range found.dispatcher.Endpoints() {
			visit(service, endpoint)
		}
	})
}

// Tick serves calls that wait although no call ended, and refuses those whose deadline has come.
func (r *Router) Tick(now time.Time) {
	r.each(func(_ string, found *desk) {
		found.tick(now)
	})
}

func (r *Router) each(visit func(service string, found *desk)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for service, found := range r.desks {
		visit(service, found)
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
