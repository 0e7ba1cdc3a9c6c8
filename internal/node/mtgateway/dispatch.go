package mtgateway

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// waiter receives the outcome of a request that waits for an endpoint.
type waiter struct {
	granted chan mtscheduler.Assignment
	refused chan *mtscheduler.Rejection
}

// assignEndpoint waits until a request gets an endpoint, is refused, or the context ends.
func (g *Gateway) assignEndpoint(
	ctx context.Context, service string, request *mtscheduler.Request,
) (mtscheduler.Assignment, *mtscheduler.Rejection) {
	now := time.Now()
	g.mu.Lock()
	placer := g.placerFor(service)
	g.lastRequestID++
	request.ID = g.lastRequestID
	if refusal := placer.Enqueue(request, now); refusal != nil {
		g.mu.Unlock()
		return mtscheduler.Assignment{}, refusal
	}
	w := &waiter{
		granted: make(chan mtscheduler.Assignment, 1),
		refused: make(chan *mtscheduler.Rejection, 1),
	}
	g.waiters[request.ID] = w
	g.dispatch(service, now)
	g.mu.Unlock()
	select {
	case grant := <-w.granted:
		return grant, nil
	case refusal := <-w.refused:
		return mtscheduler.Assignment{}, refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, request.ID)
	placer.Cancel(request.ID)
	select {
	case grant := <-w.granted:
		// The grant arrived when the context ended, so it is released unused.
		placer.Complete(grant, request.Route, mtscheduler.AttemptResult{
			Verdict: mtscheduler.Abandoned,
		}, time.Now())
		g.dispatch(service, time.Now())
	default:
	}
	return mtscheduler.Assignment{}, &mtscheduler.Rejection{
		Reason: reasonExpired,
	}
}

// hasFreeSlot reports whether a service has a free slot for an extra attempt.
func (g *Gateway) hasFreeSlot(service string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placerFor(service).HasHedgeSlot(now)
}

// reasonExpired is the refusal reason for a request that waited until its context ended.
const reasonExpired = "expired"

// dispatch assigns waiting requests of one service to endpoints; the caller holds g.mu. While the link limits the requests,
// those of all services are assigned in the order of their urgency.
func (g *Gateway) dispatch(service string, now time.Time) {
	if g.link.Wait(0, 0, true, now) == 0 {
		g.dispatchService(service, now)
		return
	}
	services := []string{service}
	for other, placer := range g.placers {
		if other != service && placer.Len() > 0 {
			services = append(services, other)
		}
	}
	slices.SortFunc(services, func(a, b string) int {
		return cmp.Or(mtscheduler.CompareUrgency(g.placerFor(a).MostUrgent(), g.placerFor(b).MostUrgent()), strings.Compare(a, b))
	})
	for _, each := range services {
		g.dispatchService(each, now)
	}
}

// linkBytesAhead returns the expected bytes of the responses to the waiting requests that go before a request, which has
// expectedBytes itself; the caller holds g.mu.
func (g *Gateway) linkBytesAhead(request *mtscheduler.Request, expectedBytes float64) float64 {
	bytes := 0.0
	for _, placer := range g.placers {
		bytes += placer.BytesAhead(request, expectedBytes)
	}
	return bytes
}

// dispatchService assigns waiting requests of one service to endpoints; the caller holds g.mu.
func (g *Gateway) dispatchService(service string, now time.Time) {
	placer := g.placerFor(service)
	binding := placer.Schedule(now)
	for _, grant := range binding.Assignments {
		if w := g.waiters[grant.ID]; w != nil {
			delete(g.waiters, grant.ID)
			w.granted <- grant
		}
	}
	for _, dropped := range binding.Dropped {
		if w := g.waiters[dropped.ID]; w != nil {
			delete(g.waiters, dropped.ID)
			w.refused <- dropped.Rejection
		}
	}
	for _, target := range binding.Probes {
		go g.probe(service, target, target.Address)
	}
	if !binding.NextRun.IsZero() {
		g.scheduleDispatch(service, binding.NextRun, now)
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
func (g *Gateway) probe(service string, target *mtscheduler.Endpoint, address string) {
	path := "/"
	if table := g.routeTable.Load(); table != nil {
		path = table.Services[service].Health
	}
	sentAt := time.Now()
	statement, err := g.endpointPool.Probe(context.Background(), address, path, func(statement mtresponse.Metadata) {
		g.handleEndpointStatement(target, statement)
		g.applyWarmUpLeft(service, target, statement, sentAt)
	})
	now := time.Now()
	g.metrics.probes.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placerFor(service)
	switch {
	case err != nil:
		placer.RecordFailedProbe(target, now)
		g.recordUnreached(service, target, true, now)
		g.applyCrashSign(service, target, err, now)
	case statement.EndpointID != "" && statement.EndpointID != target.ID:
		placer.RecordFailedProbe(target, now)
	case !statement.HasLoadReport:
		g.recordResponse(service, now)
		g.recordHealthResponse(service, target, statement, sentAt, now)
		placer.RecordMissingReport(target, now)
	default:
		g.recordResponse(service, now)
		g.recordHealthResponse(service, target, statement, sentAt, now)
		statement.LoadReport.OwnRequests = target.Inflight()
		placer.RecordReport(target, statement.LoadReport, now)
	}
	g.dispatch(service, now)
}

// finishAttempt records the end of an attempt at an endpoint, which stated something with its response unless there is
// none, and dispatches waiting requests.
func (g *Gateway) finishAttempt(
	service, route string, grant mtscheduler.Assignment, result mtscheduler.AttemptResult, statement *mtresponse.Metadata, now time.Time,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	placer := g.placerFor(service)
	placer.Complete(grant, route, result, now)
	if statement != nil && !statement.Misdirected {
		g.recordResponseOf(grant.Endpoint, now.Add(-result.ResponseTime), now)
	}
	switch {
	case statement != nil && statement.HasLoadReport:
		report := statement.LoadReport
		// The load report of a response still counts the request that it answers.
		report.OwnRequests = grant.Endpoint.Inflight() + 1
		placer.RecordReport(grant.Endpoint, report, now)
	case result.Verdict == mtscheduler.Served:
		placer.RecordMissingReport(grant.Endpoint, now)
	}
	if statement != nil && result.Verdict == mtscheduler.Served {
		g.applyMissingLimit(grant.Endpoint, *statement, now)
	}
	g.dispatch(service, now)
}
