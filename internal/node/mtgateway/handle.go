// The path of a request: its route, its tenant, the quota of the tenant, the requests before it on its connection, its
// deadline, and the schedule. Each step may refuse the request, which has then not run. The schedule, in active_request.go,
// finds an endpoint and sends the request there as often as its route allows; before each time, it checks again that the
// tenant's key is valid.

package mtgateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtheader"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// defaultTimeout bounds a request when neither its caller nor its route sets a timeout.
	defaultTimeout = 30 * time.Second
	// notReadyRetryDelay is the Retry-After of an instance that has no configuration yet.
	notReadyRetryDelay = 300 * time.Millisecond
	// timeoutMargin is subtracted from a timeout, so that the answer reaches the caller in time.
	timeoutMargin = 5 * time.Millisecond
	// reasonNotReady is the refusal reason before the first configuration.
	reasonNotReady = "notready"
	// reasonLeaving is the refusal reason when the instance ends before an endpoint was found.
	reasonLeaving = "leaving"
	// reasonNoRoute is the refusal reason when the configuration has no route for the request.
	reasonNoRoute = "noroute"
)

// Handle answers one request; nil closes its connection without an answer.
func (g *Gateway) Handle(ctx context.Context, call *mtingress.Call) *mtingress.Response {
	removeRelayHeader(call.Request.Header)
	return g.handle(ctx, call, nil)
}

// handle answers one request; origin is nil unless another instance has passed it on.
func (g *Gateway) handle(ctx context.Context, call *mtingress.Call, origin *relayOrigin) *mtingress.Response {
	g.requestRate.add(1, call.ArrivedAt)
	table, route, refusal := g.findRoute(call, origin)
	if refusal != nil {
		return refusal
	}
	authorization, refusal := g.authorize(call, route, table, origin)
	if refusal != nil {
		return refusal
	}
	if refusal := g.chargeQuota(ctx, call, authorization.tenant, origin); refusal != nil {
		return refusal
	}
	if !awaitPrior(ctx, call, route) {
		return nil
	}
	times := g.timesOf(call, route, origin)
	return newActiveRequest(g, call, route, table, authorization, times, origin).run(ctx)
}

// findRoute returns the route of a request and the configuration that it belongs to, or a refusal; origin is nil unless another
// instance has passed the request on.
func (g *Gateway) findRoute(call *mtingress.Call, origin *relayOrigin) (*mtroute.Table, *mtroute.Route, *mtingress.Response) {
	table := g.routeTable.Load()
	if table == nil || !g.isStateLoaded() {
		g.recordRejection(call, http.StatusServiceUnavailable, reasonNotReady, table)
		return nil, nil, newRefusalAnswer(http.StatusServiceUnavailable, reasonNotReady, notReadyRetryDelay)
	}
	route := table.Find(call.Request.Host, call.Request.RequestURI)
	if route == nil || len(route.Parts) == 0 {
		g.recordRejection(call, http.StatusNotFound, reasonNoRoute, table)
		if origin != nil {
			// The configuration here is older than that of the instance which has passed the request on, so another helper
			// may know the route.
			return nil, nil, newRefusalAnswer(http.StatusServiceUnavailable, reasonLost, minRetryDelay)
		}
		return nil, nil, newRefusalAnswer(http.StatusNotFound, reasonNoRoute, 0)
	}
	return table, route, nil
}

// awaitPrior waits until the earlier requests of the connection are answered, if the request may not run twice, and reports
// whether the caller is still there. Requests behind an answer that closes the connection must not run; only those that may
// run twice start earlier.
func awaitPrior(ctx context.Context, call *mtingress.Call, route *mtroute.Route) bool {
	if route.Idempotent {
		return true
	}
	select {
	case <-call.PriorDone:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordRejection counts and logs a request that is refused before any attempt.
func (g *Gateway) recordRejection(call *mtingress.Call, status int, reason string, table *mtroute.Table) {
	g.metrics.countRequest("", reason, 0)
	if !g.requestLog.allow(importanceFailure, call.ArrivedAt) {
		return
	}
	id, _ := g.headerCodec.ParseRequestHeader(call.Request.Header)
	fields := logrus.Fields{
		"id":     id,
		"status": status,
		"reason": reason,
		"host":   call.Request.Host,
		"target": call.Request.RequestURI,
	}
	if table != nil {
		fields["version"] = table.Version
	}
	g.requestLog.write(mtevent.CallRefused, fields)
}

// newRefusalAnswer returns an answer by this instance itself; retryAfter is 0 when the answer has no Retry-After.
func newRefusalAnswer(status int, reason string, retryAfter time.Duration) *mtingress.Response {
	header := http.Header{
		mtoutcome.ReasonHeader: {reason},
		"Content-Type":         {"text/plain"},
	}
	if retryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	return mtingress.NewResponse(status, header, []byte(reason+"\n"))
}

// requestTimes are the ID of a caller's attempt, and until when it should and must be answered.
type requestTimes struct {
	attemptID string
	objective time.Time
	deadline  time.Time
}

// timesOf returns the times of a request.
func (g *Gateway) timesOf(call *mtingress.Call, route *mtroute.Route, origin *relayOrigin) (times requestTimes) {
	times.attemptID, times.objective, times.deadline = g.requestDeadlines(route, call.Request.Header, call.ArrivedAt, origin)
	return times
}

// requestDeadlines returns the attempt ID, the objective and the deadline of a request; time that its caller has
// already waited is subtracted from the objective. Only the timeout of a request that its caller sent here tells that
// time: the instance that passes a request on replaces the timeout.
func (g *Gateway) requestDeadlines(
	route *mtroute.Route, header http.Header, arrived time.Time, origin *relayOrigin,
) (attemptID string, objective, deadline time.Time) {
	attemptID, timeout := g.headerCodec.ParseRequestHeader(header)
	elapsed := time.Duration(0)
	switch {
	case timeout <= 0:
		timeout = defaultTimeout
	case origin == nil:
		elapsed = g.callerPatience.sinceFirstAttempt(route.Name, timeout)
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	deadline = g.boundDeadline(arrived.Add(timeout - timeoutMargin))
	if route.Objective <= 0 {
		return attemptID, deadline, deadline
	}
	left := route.Objective - elapsed
	if origin != nil && origin.hasObjective {
		left = min(left, origin.objectiveLeft)
	}
	return attemptID, arrived.Add(left), deadline
}

// forwardedHeader returns the headers to send to the endpoint.
func forwardedHeader(callerHeader http.Header) http.Header {
	header := make(http.Header, len(callerHeader)+2)
	mtheader.CopyEndToEnd(header, callerHeader)
	delete(header, "Content-Length")
	return header
}
