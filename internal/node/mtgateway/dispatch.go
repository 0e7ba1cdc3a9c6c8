package mtgateway

import (
	"context"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
)

// waiter receives the outcome of a request that waits for an endpoint.
type waiter struct {
	granted chan mtplacer.Grant
	refused chan *mtplacer.Refusal
}

// assignEndpoint waits until a request gets an endpoint, is refused, or the context ends.
func (g *Gateway) assignEndpoint(
	ctx context.Context, service string, request *mtplacer.Request,
) (mtplacer.Grant, *mtplacer.Refusal) {
	now := time.Now()
	g.mu.Lock()
	placer := g.placerFor(service)
	g.lastRequestID++
	request.ID = g.lastRequestID
	if refusal := placer.Offer(request, now); refusal != nil {
		g.mu.Unlock()
		return mtplacer.Grant{}, refusal
	}
	w := &waiter{
		granted: make(chan mtplacer.Grant, 1),
		refused: make(chan *mtplacer.Refusal, 1),
	}
	g.waiters[request.ID] = w
	g.dispatch(service, now)
	g.mu.Unlock()
	select {
	case grant := <-w.granted:
		return grant, nil
	case refusal := <-w.refused:
		return mtplacer.Grant{}, refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, request.ID)
	placer.Cancel(request.ID)
	select {
	case grant := <-w.granted:
		// The grant arrived when the context ended, so it is released unused.
		placer.End(grant, request.Route, mtplacer.Result{
			Verdict: mtplacer.Abandoned,
		}, time.Now())
		g.dispatch(service, time.Now())
	default:
	}
	return mtplacer.Grant{}, &mtplacer.Refusal{
		Reason: reasonExpired,
	}
}

// hasFreeSlot reports whether a service has a free slot for an extra attempt.
func (g *Gateway) hasFreeSlot(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placerFor(service).HasSpare(now)
}

// reasonExpired is the refusal reason for a request that waited until its context ended.
const reasonExpired = "expired"

// dispatch assigns waiting requests of one service to endpoints; the caller holds g.mu.
func (g *Gateway) dispatch(service string, now time.Time) {
	placer := g.placerFor(service)
	binding := placer.Bind(now)
	for _, grant := range binding.Grants {
		if w := g.waiters[grant.ID]; w != nil {
			delete(g.waiters, grant.ID)
			w.granted <- grant
		}
	}
	for _, dropped := range binding.Drops {
		if w := g.waiters[dropped.ID]; w != nil {
			delete(g.waiters, dropped.ID)
			w.refused <- dropped.Refusal
		}
	}
	for _, target := range binding.Looks {
		go g.probe(service, target, target.Address)
	}
	if !binding.Wake.IsZero() {
		g.scheduleDispatch(service, binding.Wake, now)
	}
}

func (g *Gateway) dispatchAll(now time.Time) {
	for service, placer := range g.placers {
		if placer.Len() > 0 {
			g.dispatch(service, now)
		}
	}
}

// scheduleDispatch makes dispatch run again for a service at a given time; the caller holds g.mu.
func (g *Gateway) scheduleDispatch(service string, at, now time.Time) {
	if scheduled := g.nextDispatches[service]; !scheduled.IsZero() && !scheduled.After(at) && scheduled.After(now) {
		return
	}
	g.nextDispatches[service] = at
	time.AfterFunc(at.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(service, time.Now())
	})
}

// probe requests the load of an endpoint.
func (g *Gateway) probe(service string, target *mtplacer.Target, address string) {
	path := "/"
	if table := g.routeTable.Load(); table != nil {
		path = table.Services[service].Health
	}
	statement, err := g.endpointPool.Look(context.Background(), address, path, func(statement mtexchange.Stated) {
		g.handleEndpointStatement(target, statement)
	})
	now := time.Now()
	g.metrics.probes.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placerFor(service)
	switch {
	case err != nil, statement.Instance != "" && statement.Instance != target.ID:
		placer.Unseen(target, now)
	case !statement.Reported:
		placer.Untold(target, now)
	default:
		statement.Report.Own = target.Inflight()
		placer.Observe(target, statement.Report, now)
	}
	g.dispatch(service, now)
}

// finishAttempt records the end of an attempt at an endpoint and dispatches waiting requests.
func (g *Gateway) finishAttempt(
	service, route string, grant mtplacer.Grant, result mtplacer.Result, report *mtplacer.Report, now time.Time,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placerFor(service)
	placer.End(grant, route, result, now)
	switch {
	case report != nil:
		// The load report of a response still counts the request that it answers.
		report.Own = grant.Target.Inflight() + 1
		placer.Observe(grant.Target, *report, now)
	case result.Verdict == mtplacer.Served:
		placer.Untold(grant.Target, now)
	}
	g.dispatch(service, now)
}
