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
	// waitDefault bounds a request whose caller and route name no bound.
	waitDefault = 30 * time.Second
	// notReadyAfter is when callers should come back to an instance that has no configuration yet.
	notReadyAfter = 300 * time.Millisecond
	// timeoutMargin is taken off a bound, so that the answer reaches the caller within it.
	timeoutMargin = 5 * time.Millisecond
	// notReady is the reason of a refusal before the first configuration.
	notReady = "notready"
	// noRoute is the reason of a refusal under a configuration that has no route for the request.
	noRoute = "noroute"
)

// Handle answers one request; nil cuts its connection.
func (g *Gateway) Handle(ctx context.Context, call *mtingress.Call) *mtingress.Answer {
	g.rate.add(1, call.Arrived)
	table := g.table.Load()
	if table == nil || !g.isFilled() {
		g.logTurnedAway(call, http.StatusServiceUnavailable, notReady, table)
		return refuse(http.StatusServiceUnavailable, notReady, notReadyAfter)
	}
	route := table.Find(call.Request.Host, call.Request.RequestURI)
	if route == nil || len(route.Parts) == 0 {
		g.logTurnedAway(call, http.StatusNotFound, noRoute, table)
		return refuse(http.StatusNotFound, noRoute, 0)
	}
	if !route.Idempotent {
		// What stands behind an answer that closes the connection must not run, and only these may run twice.
		select {
		case <-call.Prior:
		case <-ctx.Done():
			return nil
		}
	}
	return newAttempt(g, call, route, table).run(ctx)
}

// logTurnedAway counts and logs a request that got no attempt.
func (g *Gateway) logTurnedAway(call *mtingress.Call, status int, reason string, table *mtroute.Table) {
	g.meter.call("", reason, 0)
	if !g.journal.admits(failure, call.Arrived) {
		return
	}
	id, _ := g.exchange.ReadCall(call.Request.Header)
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
	g.journal.write(mtevent.CallRefused, fields)
}

// refuse returns an answer of the instance's own; after is when the caller should come back, or 0.
func refuse(status int, reason string, after time.Duration) *mtingress.Answer {
	header := http.Header{
		mtoutcome.ReasonHeader: {reason},
		"Content-Type":         {"text/plain"},
	}
	if after > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	return mtingress.NewAnswer(status, header, []byte(reason+"\n"))
}

// bounds returns the objective and the end of a request, and how long its caller waited before.
func (g *Gateway) bounds(route *mtroute.Route, header http.Header, arrived time.Time) (attempt string, objective, end time.Time) {
	attempt, wait := g.exchange.ReadCall(header)
	waited := time.Duration(0)
	if wait > 0 {
		waited = g.patience.waited(route.Name, wait, arrived)
	} else {
		wait = waitDefault
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	end = arrived.Add(wait - timeoutMargin)
	if route.Objective <= 0 {
		return attempt, end, end
	}
	return attempt, arrived.Add(route.Objective - waited), end
}

// forwarded returns the headers that go on to the endpoint.
func forwarded(from http.Header) http.Header {
	header := make(http.Header, len(from)+2)
	mtheader.CopyEndToEnd(header, from)
	delete(header, "Content-Length")
	return header
}
