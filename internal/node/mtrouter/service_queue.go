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
	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtdispatch"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

const (
	// busyRetry is how long a caller is told to wait when the queue is full.
	busyRetry = 100 * time.Millisecond
	// unreachedRetry is how long a caller is told to wait when the service has no endpoint.
	unreachedRetry = time.Second
)

// desk is the dispatcher of one service with the goroutines that wait for it.
type desk struct {
	mu         sync.Mutex
	dispatcher *mtdispatch.Dispatcher
	random     *rand.Rand
	// queued is the number of calls that wait, so that a tick without any takes no lock.
	queued  atomic.Int64
	waiting map[uint64]chan verdict
	next    uint64
}

type verdict struct {
	lease   *Lease
	refusal *mtrefusal.Refusal
}

func newDesk(centre string) *desk {
	return &desk{
		dispatcher: mtdispatch.NewDispatcher(centre),
		random:     newRandom(),
		waiting:    map[uint64]chan verdict{},
	}
}

func (d *desk) acquire(ctx context.Context, call *mtcall.Call, avoid string) (*Lease, error) {
	id, answer, err := d.offer(call, avoid)
	if err != nil {
		return nil, err
	}
	select {
	case result := <-answer:
		return result.unpack()
	case <-ctx.Done():
	}
	if d.cancel(id) {
		return nil, cancelled(ctx)
	}
	result := <-answer
	if result.lease != nil {
		result.lease.Abandon()
	}
	return nil, cancelled(ctx)
}

func (v verdict) unpack() (*Lease, error) {
	if v.refusal != nil {
		return nil, v.refusal
	}
	return v.lease, nil
}

func cancelled(ctx context.Context) *mtrefusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return mtrefusal.NotRun(mtrefusal.Deadline, "the deadline came before an endpoint was free")
	}
	return mtrefusal.NotRun(mtrefusal.Cancelled, "the caller left before an endpoint was free")
}

func (d *desk) offer(call *mtcall.Call, avoid string) (uint64, chan verdict, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.next++
	id := d.next
	answer := make(chan verdict, 1)
	d.waiting[id] = answer
	dropped, err := d.dispatcher.Offer(id, call.Tenant(), avoid, call.Deadline, now)
	if err != nil {
		delete(d.waiting, id)
		return 0, nil, refusalOf(err)
	}
	for _, victim := range dropped {
		d.refuse(victim, mtrefusal.NotRun(mtrefusal.Busy, "the queue is full").After(busyRetry))
	}
	d.bind(now)
	d.queued.Store(int64(d.dispatcher.Len()))
	return id, answer, nil
}

func refusalOf(err error) *mtrefusal.Refusal {
	if errorx.IsOfType(err, mtdispatch.Late) {
		return mtrefusal.NotRun(mtrefusal.Busy, "%s", message(err)).After(busyRetry)
	}
	return mtrefusal.NotRun(mtrefusal.Unreached, "%s", message(err)).After(unreachedRetry)
}

func message(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

func (d *desk) bind(now time.Time) {
	for _, grant := range d.dispatcher.Bind(now, d.random) {
		d.answer(grant.ID, verdict{
			lease: &Lease{
				Endpoint: grant.Endpoint.Name,
				Address:  grant.Endpoint.Address,
				desk:     d,
				endpoint: grant.Endpoint,
				team:     grant.Team,
				started:  now,
			},
		})
	}
}

func (d *desk) answer(id uint64, result verdict) {
	d.waiting[id] <- result
	delete(d.waiting, id)
}

func (d *desk) refuse(id uint64, refusal *mtrefusal.Refusal) {
	d.answer(id, verdict{
		refusal: refusal,
	})
}

func (d *desk) cancel(id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.dispatcher.Cancel(id) {
		return false
	}
	delete(d.waiting, id)
	return true
}

func (d *desk) tick(now time.Time) {
	if d.queued.Load() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range d.dispatcher.Expire(now) {
		d.refuse(id, mtrefusal.NotRun(mtrefusal.Deadline, "the deadline came before an endpoint was free"))
	}
	d.bind(now)
	d.queued.Store(int64(d.dispatcher.Len()))
}

func (d *desk) latency(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Latency(now)
}

func (d *desk) update(update Update, instance string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := map[string]*mtendpoint.Endpoint{}
	first := len(d.dispatcher.Endpoints()) == 0
	for _, endpoint := range d.dispatcher.Endpoints() {
		present[endpoint.Name+"@"+endpoint.Address] = endpoint
	}
	var endpoints []*mtendpoint.Endpoint
	leads := mtcrew.Leads(Places(update.Endpoints), update.Crew)
	for _, listed := range update.Endpoints {
		endpoint := present[listed.GetName()+"@"+listed.GetAddress()]
		if endpoint == nil {
			endpoint = newEndpoint(listed, first, now)
		}
		endpoint.Slots = float64(update.Service.GetSlots())
		endpoint.Lead = leads[endpoint.Name] == instance
		endpoint.Leaving = listed.GetLeaving() || update.Leaving(listed.GetName())
		endpoints = append(endpoints, endpoint)
	}
	d.dispatcher.SetEndpoints(endpoints)
	for _, id := range d.dispatcher.Abandon(now) {
		d.refuse(id, mtrefusal.NotRun(mtrefusal.Unreached, "the last endpoint of the service leaves").After(unreachedRetry))
	}
	d.bind(now)
}

// newEndpoint treats the endpoints of the first list as warm, because they ran before this instance did.
func newEndpoint(listed *platformv1.Instance, first bool, now time.Time) *mtendpoint.Endpoint {
	endpoint := &mtendpoint.Endpoint{
		Name:    listed.GetName(),
		Address: listed.GetAddress(),
		Centre:  listed.GetCentre(),
	}
	if !first {
		endpoint.Joined = now
	}
	return endpoint
}

// Places returns the names and data centres of lines of the instance list.
func Places(listed []*platformv1.Instance) []mtcrew.Place {
	var result []mtcrew.Place
	for _, instance := range listed {
		result = append(result, mtcrew.Place{
			Name:   instance.GetName(),
			Centre: instance.GetCentre(),
		})
	}
	return result
}
