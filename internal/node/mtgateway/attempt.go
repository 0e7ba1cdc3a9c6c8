package mtgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtroute"
)

const (
	// hedgeFactor is the multiple of the expected time after which an idempotent request may be sent to a second endpoint.
	hedgeFactor = 2.5
	// hedgeLeast keeps short requests from being sent twice for a scheduling delay.
	hedgeLeast = 60 * time.Millisecond
	// hedgeAgain is the time between two tries to find a second endpoint.
	hedgeAgain = 100 * time.Millisecond
	// freeRetries bounds the attempts of which no byte has left, which no endpoint counts.
	freeRetries = 3
)

// timedOut is the reason of a refusal at the end of a request's time.
const timedOut = "timeout"

// attempt serves one request of a caller, with as many endpoints as its route allows.
type attempt struct {
	gateway   *Gateway
	call      *mtingress.Call
	route     *mtroute.Route
	table     *mtroute.Table
	service   string
	id        string
	objective time.Time
	end       time.Time

	results chan result
	// running is the number of endpoints, or places in the queue, that the request has at present.
	running int
	// sent is the number of endpoints that the request was sent to, and unsent the tries of which no byte left.
	sent   int
	unsent int
	// granted are the endpoints that the request was bound to; the goroutines of the tries add to them.
	granted grants
	// refusal is the last refusal of the placer.
	refusal *mtplacer.Refusal
	// mayRun is set from the moment at which an endpoint may have run the request without an answer.
	mayRun bool
	// spare is the answer that is used when no better one comes, and spareOf the endpoint that it is of.
	spare   *mtupstream.Reply
	spareOf mtplacer.Grant
	after   time.Duration
	why     string
	// full is set when an endpoint that took no request was full, could not be reached, or did not tell.
	full bool
	// denied is set when the budget had no further attempt at the last question.
	denied bool
	// cancel ends all tries, and each of cancels the try of its number that is under way.
	cancel  context.CancelFunc
	cancels map[int]context.CancelFunc
	number  int
}

// result is the end of one try.
type result struct {
	number  int
	cancel  context.CancelFunc
	refusal *mtplacer.Refusal
	grant   mtplacer.Grant
	reply   *mtupstream.Reply
	fate    mtupstream.Fate
	err     error
	hedge   bool
}

func newAttempt(gateway *Gateway, call *mtingress.Call, route *mtroute.Route, table *mtroute.Table) *attempt {
	id, objective, end := gateway.bounds(route, call.Request.Header, call.Arrived)
	return &attempt{
		gateway:   gateway,
		call:      call,
		route:     route,
		table:     table,
		service:   route.Pick(),
		id:        id,
		objective: objective,
		end:       end,
		results:   make(chan result, route.Attempts+freeRetries+1),
		cancels:   map[int]context.CancelFunc{},
	}
}

// run returns the answer, or nil when the caller has left.
func (a *attempt) run(ctx context.Context) *mtingress.Answer {
	tries, cancel := context.WithDeadline(ctx, a.end)
	a.cancel = cancel
	a.gateway.budget(a.service).call(a.call.Arrived)
	a.try(tries, false)
	hedge := time.NewTimer(a.hedgeAfter())
	defer hedge.Stop()
	for {
		select {
		case result := <-a.results:
			a.running--
			delete(a.cancels, result.number)
			if answer := a.take(tries, result); answer != nil {
				return answer
			}
		case <-hedge.C:
			a.tryHedge(tries)
			hedge.Reset(hedgeAgain)
		case <-tries.Done():
			return a.giveUp(ctx)
		}
	}
}

// hedgeAfter returns when a second endpoint is tried for a request without an answer.
func (a *attempt) hedgeAfter() time.Duration {
	if !a.route.Idempotent || a.route.Attempts < 2 {
		return time.Until(a.end) + time.Second
	}
	expected := a.gateway.expected(a.service, a.request())
	return max(hedgeLeast, time.Duration(hedgeFactor*float64(expected)))
}

func (a *attempt) request() *mtplacer.Request {
	return &mtplacer.Request{
		Route:     a.route.Name,
		Arrived:   a.call.Arrived,
		Objective: a.objective,
		Deadline:  a.end,
		Priority:  a.route.Priority,
		Avoid:     a.granted.endpoints(),
	}
}

// try looks for an endpoint and sends the request there.
func (a *attempt) try(ctx context.Context, hedge bool) {
	a.running++
	a.number++
	number := a.number
	own, cancel := context.WithCancel(ctx)
	a.cancels[number] = cancel
	request := a.request()
	request.Spare = hedge
	go func() {
		found := result{}
		asked := time.Now()
		grant, refusal := a.gateway.place(own, a.service, request)
		if refusal != nil {
			found.refusal = refusal
		} else {
			a.granted.add(grant)
			a.gateway.meter.wait(a.service, time.Since(asked))
			found = a.send(own, grant)
		}
		found.number = number
		found.cancel = cancel
		found.hedge = hedge
		a.results <- found
	}()
}

// send sends the request to the endpoint that was granted.
func (a *attempt) send(ctx context.Context, grant mtplacer.Grant) result {
	started := time.Now()
	header := forwarded(a.call.Request.Header)
	a.gateway.exchange.MarkCall(header, grant.Target.ID, time.Until(a.end))
	reply, fate, err := a.gateway.pool.Send(ctx, mtupstream.Order{
		Address:    grant.Target.Address,
		Method:     a.call.Request.Method,
		Target:     a.call.Request.RequestURI,
		Host:       a.call.Request.Host,
		Header:     header,
		Body:       a.call.Body,
		Attempt:    a.id,
		Idempotent: a.route.Idempotent,
		Heard: func(stated mtexchange.Stated) {
			a.gateway.heard(grant.Target, stated)
		},
		Allowed: func() bool {
			return a.gateway.isGranted(grant, started, time.Now())
		},
	}, a.end)
	now := time.Now()
	verdict := a.verdict(ctx, reply, fate)
	if errors.Is(err, mtupstream.ErrWithdrawn) {
		verdict = mtplacer.Abandoned
	}
	var report *mtplacer.Report
	size := int64(0)
	if reply != nil {
		size = max(reply.Length, int64(len(reply.Body)))
	}
	if reply != nil && reply.Stated.Reported {
		report = &reply.Stated.Report
	}
	a.gateway.finish(a.service, a.route.Name, grant, mtplacer.Result{
		Verdict: verdict,
		Took:    now.Sub(started),
		Size:    size,
	}, report, now)
	a.gateway.meter.attempt(a.service, verdict)
	if verdict == mtplacer.Failed || verdict == mtplacer.Shed {
		a.logFailure(grant, reply, err, started, now)
	}
	return result{
		grant: grant,
		reply: reply,
		fate:  fate,
		err:   err,
	}
}

func (a *attempt) verdict(ctx context.Context, reply *mtupstream.Reply, fate mtupstream.Fate) mtplacer.Verdict {
	switch {
	case ctx.Err() != nil && fate != mtupstream.Answered:
		if time.Now().Before(a.end) {
			return mtplacer.Abandoned
		}
		return mtplacer.Failed
	case fate != mtupstream.Answered:
		return mtplacer.Failed
	case reply.Stated.NotRun:
		return mtplacer.Shed
	case reply.Status >= http.StatusInternalServerError:
		return mtplacer.Failed
	default:
		return mtplacer.Served
	}
}

// take decides on the result of one try; nil means that the request goes on.
func (a *attempt) take(ctx context.Context, r result) *mtingress.Answer {
	if r.refusal != nil {
		r.cancel()
		return a.takeRefusal(ctx, r)
	}
	if r.fate != mtupstream.Unsent {
		a.sent++
	} else {
		a.unsent++
	}
	ran := false
	switch {
	case r.fate == mtupstream.Lost:
		ran = true
		a.why = "lost"
	case r.fate == mtupstream.Unsent:
		a.why = "unreached"
		a.full = true
	case r.reply.Stated.NotRun:
		a.why = "shed"
		report := r.reply.Stated.Report
		a.full = a.full || !r.reply.Stated.Reported || report.Running+report.Waiting >= report.Slots
		a.drop(r.reply)
	case r.reply.Status >= http.StatusInternalServerError && a.route.Idempotent && r.reply.Rest == nil:
		ran = true
		a.why = "failed"
		a.spare, a.spareOf = r.reply, r.grant
	default:
		return a.pass(r.reply, r.grant, r.cancel)
	}
	r.cancel()
	a.mayRun = a.mayRun || ran
	if a.mayRetry(ran) {
		a.try(ctx, false)
		return nil
	}
	if a.running > 0 {
		return nil
	}
	return a.fail()
}

// takeRefusal decides on a try that found no endpoint.
func (a *attempt) takeRefusal(ctx context.Context, r result) *mtingress.Answer {
	if !r.hedge && r.refusal.Reason != mtplacer.NoOther {
		a.why = r.refusal.Reason
		a.refusal = r.refusal
		a.after = r.refusal.After
	}
	switch {
	case a.running > 0 || r.refusal.Reason == expired:
		return nil
	case r.hedge && a.mayRetry(a.mayRun):
		// The first endpoint has failed while the second was being looked for.
		a.try(ctx, false)
		return nil
	default:
		return a.fail()
	}
}

// mayRetry reports whether another endpoint may have the request.
func (a *attempt) mayRetry(ran bool) bool {
	if ran && !a.route.Idempotent || a.sent+a.running >= a.route.Attempts || a.unsent > freeRetries {
		return false
	}
	now := time.Now()
	if !now.Before(a.end) {
		return false
	}
	return a.sent == 0 || a.takeRepeat("retry", now)
}

// takeRepeat asks the budget for one more attempt.
func (a *attempt) takeRepeat(kind string, now time.Time) bool {
	allowed, left := a.gateway.budget(a.service).take(now)
	a.gateway.meter.repeat(a.service, kind, allowed)
	if allowed || !a.denied {
		a.logRepeat(kind, allowed, left, now)
	}
	a.denied = !allowed
	return allowed
}

// tryHedge sends an idempotent request to a second endpoint that is free, while the first has not answered.
func (a *attempt) tryHedge(ctx context.Context) {
	now := time.Now()
	if !a.route.Idempotent || a.running != 1 || a.sent+2 > a.route.Attempts || !a.gateway.hasSpare(a.service, now) {
		return
	}
	if a.takeRepeat("hedge", now) {
		a.try(ctx, true)
	}
}
