package mtgateway

import (
	"context"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
)

// seat is where a request waits for its endpoint.
type seat struct {
	grant chan mtplacer.Grant
	drop  chan *mtplacer.Refusal
}

// place waits until a request has an endpoint, is refused, or the context ends.
func (g *Gateway) place(ctx context.Context, service string, request *mtplacer.Request) (mtplacer.Grant, *mtplacer.Refusal) {
	now := time.Now()
	g.mu.Lock()
	placer := g.placer(service)
	g.last++
	request.ID = g.last
	if refusal := placer.Offer(request, now); refusal != nil {
		g.mu.Unlock()
		return mtplacer.Grant{}, refusal
	}
	waiting := &seat{
		grant: make(chan mtplacer.Grant, 1),
		drop:  make(chan *mtplacer.Refusal, 1),
	}
	g.seats[request.ID] = waiting
	g.pump(service, now)
	g.mu.Unlock()
	select {
	case grant := <-waiting.grant:
		return grant, nil
	case refusal := <-waiting.drop:
		return mtplacer.Grant{}, refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.seats, request.ID)
	placer.Cancel(request.ID)
	select {
	case grant := <-waiting.grant:
		// The grant came at the same moment and is given back unused.
		placer.End(grant, request.Route, mtplacer.Result{
			Verdict: mtplacer.Abandoned,
		}, time.Now())
		g.pump(service, time.Now())
	default:
	}
	return mtplacer.Grant{}, &mtplacer.Refusal{
		Reason: expired,
	}
}

// hasSpare reports whether a service has a slot for an extra attempt.
func (g *Gateway) hasSpare(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer(service).HasSpare(now)
}

// expired is the reason of a refusal for a request that waited until its end.
const expired = "expired"

// pump grants what can be granted in one service; the mutex is held.
func (g *Gateway) pump(service string, now time.Time) {
	placer := g.placer(service)
	binding := placer.Bind(now)
	for _, grant := range binding.Grants {
		if waiting := g.seats[grant.ID]; waiting != nil {
			delete(g.seats, grant.ID)
			waiting.grant <- grant
		}
	}
	for _, drop := range binding.Drops {
		if waiting := g.seats[drop.ID]; waiting != nil {
			delete(g.seats, drop.ID)
			waiting.drop <- drop.Refusal
		}
	}
	for _, target := range binding.Looks {
		go g.look(service, target, target.Address)
	}
	if !binding.Wake.IsZero() {
		g.wakeAt(service, binding.Wake, now)
	}
}

func (g *Gateway) pumpAll(now time.Time) {
	for service, placer := range g.placers {
		if placer.Len() > 0 {
			g.pump(service, now)
		}
	}
}

// wakeAt pumps a service again at a moment; the mutex is held.
func (g *Gateway) wakeAt(service string, at, now time.Time) {
	if due := g.wakes[service]; !due.IsZero() && !due.After(at) && due.After(now) {
		return
	}
	g.wakes[service] = at
	time.AfterFunc(at.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.pump(service, time.Now())
	})
}

// look asks an endpoint for its load.
func (g *Gateway) look(service string, target *mtplacer.Target, address string) {
	path := "/"
	if table := g.table.Load(); table != nil {
		path = table.Services[service].Health
	}
	stated, err := g.pool.Look(context.Background(), address, path, func(stated mtexchange.Stated) {
		g.heard(target, stated)
	})
	now := time.Now()
	g.meter.looks.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placer(service)
	switch {
	case err != nil, stated.Instance != "" && stated.Instance != target.ID:
		placer.Unseen(target, now)
	case !stated.Reported:
		placer.Untold(target, now)
	default:
		stated.Report.Own = target.Inflight()
		placer.Observe(target, stated.Report, now)
	}
	g.pump(service, now)
}

// finish records the end of a request at an endpoint and serves those that wait.
func (g *Gateway) finish(service, route string, grant mtplacer.Grant, result mtplacer.Result, report *mtplacer.Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placer(service)
	placer.End(grant, route, result, now)
	switch {
	case report != nil:
		// The report of an answer still counts the request that it answers.
		report.Own = grant.Target.Inflight() + 1
		placer.Observe(grant.Target, *report, now)
	case result.Verdict == mtplacer.Served:
		placer.Untold(grant.Target, now)
	}
	g.pump(service, now)
}
