package mtgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtheader"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// answerWithReply passes the reply of a grant's endpoint to the caller and cancels the other attempts; cancel ends the
// attempt that the reply belongs to.
func (a *activeRequest) answerWithReply(
	reply *mtupstream.Reply, grant mtscheduler.Assignment, cancel context.CancelFunc,
) *mtingress.Answer {
	a.cancelActiveAttempts()
	elapsed := time.Since(a.call.Arrived)
	a.gateway.metrics.countRequest(a.service, "answered", elapsed)
	a.gateway.responseByteRate.add(float64(max(reply.Length, int64(len(reply.Body)))), time.Now())
	a.logAnswer(reply, grant, elapsed)
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
		a.cancelAll()
		return answer
	}
	answer.Written = func(bool) {
		cancel()
		a.cancelAll()
	}
	return answer
}

// cancelActiveAttempts cancels the attempts that are still running and discards their replies.
func (a *activeRequest) cancelActiveAttempts() {
	for _, cancel := range a.attemptCancels {
		cancel()
	}
	for range a.activeAttempts {
		go func() {
			result := <-a.results
			a.closeReply(result.reply)
		}()
	}
	a.activeAttempts = 0
}

func (a *activeRequest) closeReply(reply *mtupstream.Reply) {
	if reply != nil && reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}

// answerFailure answers a request that no endpoint has answered.
func (a *activeRequest) answerFailure() *mtingress.Answer {
	if a.fallback != nil {
		return a.answerWithReply(a.fallback, a.fallbackGrant, a.cancelAll)
	}
	a.cancelActiveAttempts()
	a.cancelAll()
	now := time.Now()
	elapsed := now.Sub(a.call.Arrived)
	status := http.StatusServiceUnavailable
	switch {
	case a.mayHaveRun && now.Before(a.deadline):
		status = http.StatusBadGateway
	case a.mayHaveRun:
		// The last attempt and the request end at the same deadline; the end of the attempt was processed first.
		status = http.StatusGatewayTimeout
		a.reason = reasonTimeout
	}
	a.gateway.metrics.countRequest(a.service, a.reason, elapsed)
	a.logRefusal(status, elapsed)
	if a.mayHaveRun {
		return newRefusalAnswer(status, a.reason, 0)
	}
	retryAfter := a.retryAfter
	if retryAfter <= 0 {
		retryAfter = min(a.shedRetryDelay(), time.Until(a.deadline)/3)
	}
	return newRefusalAnswer(status, a.reason, max(retryAfter, minRetryDelay))
}

const (
	// fullRetryDelay is the Retry-After when the endpoints were full. minRetryDelay is the shortest one; it also
	// applies when the endpoints did not take the request although they had free slots, since the next endpoint may
	// take it.
	fullRetryDelay = 250 * time.Millisecond
	minRetryDelay  = 20 * time.Millisecond
)

// shedRetryDelay returns the Retry-After for a request that no endpoint took.
func (a *activeRequest) shedRetryDelay() time.Duration {
	if a.endpointsFull {
		return fullRetryDelay
	}
	return minRetryDelay
}

// handleContextDone answers a request whose deadline has passed; it returns nil when the caller has disconnected.
func (a *activeRequest) handleContextDone(ctx context.Context) *mtingress.Answer {
	defer a.cancelAll()
	if ctx.Err() != nil {
		a.cancelActiveAttempts()
		elapsed := time.Since(a.call.Arrived)
		a.gateway.metrics.countRequest(a.service, "left", elapsed)
		a.gateway.requestLog.writeIfAllowed(mtevent.CallLeft, importanceOrdinary, a.logFields(elapsed, nil))
		return nil
	}
	elapsed := time.Since(a.call.Arrived)
	// All attempts end at the same deadline; each result shows whether the request may have run.
	for range a.activeAttempts {
		result := <-a.results
		if result.refusal != nil {
			continue
		}
		a.sentAttempts++
		if result.delivery == mtupstream.Answered && !result.reply.Stated.NotRun && result.reply.Rest == nil {
			a.activeAttempts = 0
			return a.answerWithReply(result.reply, result.grant, result.cancel)
		}
		a.closeReply(result.reply)
		a.mayHaveRun = a.mayHaveRun || result.delivery == mtupstream.Lost
	}
	a.activeAttempts = 0
	if a.fallback != nil {
		return a.answerWithReply(a.fallback, a.fallbackGrant, a.cancelAll)
	}
	status := http.StatusServiceUnavailable
	if a.mayHaveRun {
		status = http.StatusGatewayTimeout
	}
	a.reason = reasonTimeout
	a.gateway.metrics.countRequest(a.service, a.reason, elapsed)
	a.logRefusal(status, elapsed)
	return newRefusalAnswer(status, a.reason, 0)
}
