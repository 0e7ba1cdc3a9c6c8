package mtgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtheader"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
)

// pass hands the answer of the endpoint of a grant to the caller and drops the other tries; cancel ends the try that the answer
// is of.
func (a *attempt) pass(reply *mtupstream.Reply, grant mtplacer.Grant, cancel context.CancelFunc) *mtingress.Answer {
	a.settle()
	took := time.Since(a.call.Arrived)
	a.gateway.meter.call(a.service, "answered", took)
	a.gateway.traffic.add(float64(max(reply.Length, int64(len(reply.Body)))), time.Now())
	a.logAnswer(reply, grant, took)
	header := http.Header{}
	mtheader.CopyEndToEnd(header, reply.Header)
	answer := &mtingress.Answer{
		Status: reply.Status,
		Header: header,
		Body:   reply.Body,
		Rest:   reply.Rest,
		Length: reply.Length,
	}
	if reply.Rest == nil {
		cancel()
		a.cancel()
		return answer
	}
	answer.Written = func(bool) {
		cancel()
		a.cancel()
	}
	return answer
}

// settle ends the tries that are still under way, and drops their answers.
func (a *attempt) settle() {
	for _, cancel := range a.cancels {
		cancel()
	}
	for range a.running {
		go func() {
			r := <-a.results
			a.drop(r.reply)
		}()
	}
	a.running = 0
}

func (a *attempt) drop(reply *mtupstream.Reply) {
	if reply != nil && reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}

// fail answers a request that no endpoint has answered.
func (a *attempt) fail() *mtingress.Answer {
	if a.spare != nil {
		return a.pass(a.spare, a.spareOf, a.cancel)
	}
	a.settle()
	a.cancel()
	now := time.Now()
	took := now.Sub(a.call.Arrived)
	status := http.StatusServiceUnavailable
	switch {
	case a.mayRun && now.Before(a.end):
		status = http.StatusBadGateway
	case a.mayRun:
		// The last try ended with the request's time, and its end was seen before the request's.
		status = http.StatusGatewayTimeout
		a.why = timedOut
	}
	a.gateway.meter.call(a.service, a.why, took)
	a.logEnd(status, took)
	if a.mayRun {
		return refuse(status, a.why, 0)
	}
	after := a.after
	if after <= 0 {
		after = min(a.shedAfter(), time.Until(a.end)/3)
	}
	return refuse(status, a.why, max(after, retryLeast))
}

const (
	// retryShed is when a caller should come back after endpoints that were full, and retryLeast the least time, also after endpoints
	// that took no request although they had room: the next one may take it.
	retryShed  = 250 * time.Millisecond
	retryLeast = 20 * time.Millisecond
)

// shedAfter returns when a caller should come back after endpoints that took no request.
func (a *attempt) shedAfter() time.Duration {
	if a.full {
		return retryShed
	}
	return retryLeast
}

// giveUp answers a request whose time is over, or nothing to a caller that has left.
func (a *attempt) giveUp(ctx context.Context) *mtingress.Answer {
	defer a.cancel()
	if ctx.Err() != nil {
		a.settle()
		took := time.Since(a.call.Arrived)
		a.gateway.meter.call(a.service, "left", took)
		a.gateway.journal.log(mtevent.CallLeft, ordinary, a.fields(took, nil))
		return nil
	}
	took := time.Since(a.call.Arrived)
	// The tries end at the same moment; each tells whether the request may have run.
	for range a.running {
		r := <-a.results
		if r.refusal != nil {
			continue
		}
		a.sent++
		if r.fate == mtupstream.Answered && !r.reply.Stated.NotRun && r.reply.Rest == nil {
			a.running = 0
			return a.pass(r.reply, r.grant, r.cancel)
		}
		a.drop(r.reply)
		a.mayRun = a.mayRun || r.fate == mtupstream.Lost
	}
	a.running = 0
	if a.spare != nil {
		return a.pass(a.spare, a.spareOf, a.cancel)
	}
	status := http.StatusServiceUnavailable
	if a.mayRun {
		status = http.StatusGatewayTimeout
	}
	a.why = timedOut
	a.gateway.meter.call(a.service, a.why, took)
	a.logEnd(status, took)
	return refuse(status, a.why, 0)
}
