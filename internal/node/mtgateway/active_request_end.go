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
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// answerWithReply passes the reply of a grant's endpoint to the caller and cancels the other attempts; cancel ends the
// attempt that the reply belongs to.
func (a *activeRequest) answerWithReply(
	reply *mtupstream.Response, grant mtscheduler.Assignment, cancel context.CancelFunc,
) *mtingress.Response {
	a.cancelActiveAttempts()
	elapsed := time.Since(a.call.ArrivedAt)
	a.count("answered", elapsed)
	a.gateway.responseByteRate.add(float64(max(reply.BodyLength, int64(len(reply.Body)))), time.Now())
	a.logAnswer(reply, grant, elapsed)
	header := http.Header{}
	mtheader.CopyEndToEnd(header, reply.Header)
	if a.isRelayed {
		// The instance that passed the request on takes a reason as a statement of this instance that it has not run.
		header.Del(mtoutcome.ReasonHeader)
	}
	answer := &mtingress.Response{
		Status:     reply.Status,
		Header:     header,
		Body:       reply.Body,
		Remainder:  reply.Remainder,
		BodyLength: reply.BodyLength,
	}
	if reply.Remainder == nil {
		cancel()
		a.cancelAll()
		return answer
	}
	remainder := &observedRemainder{
		ReadCloser: reply.Remainder,
	}
	answer.Remainder = remainder
	answer.OnWritten = func(bool) {
		a.recordBrokenRemainder(grant, remainder.err, time.Now())
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

func (a *activeRequest) closeReply(reply *mtupstream.Response) {
	if reply != nil && reply.Remainder != nil {
		_ = reply.Remainder.Close()
	}
}

// answerFailure answers a request that no endpoint has answered.
func (a *activeRequest) answerFailure() *mtingress.Response {
	if a.fallback != nil {
		return a.answerWithReply(a.fallback, a.fallbackGrant, a.cancelAll)
	}
	a.cancelActiveAttempts()
	a.cancelAll()
	now := time.Now()
	elapsed := now.Sub(a.call.ArrivedAt)
	status := http.StatusServiceUnavailable
	switch {
	case a.mayHaveRun && now.Before(a.deadline):
		status = http.StatusBadGateway
		if a.reason == reasonUnauthorized || a.reason == reasonUndecided {
			// These say that a further attempt was not sent. The outcome follows from the attempt before.
			a.reason = reasonBroken
		}
	case a.mayHaveRun:
		// The last attempt and the request end at the same deadline; the end of the attempt was processed first.
		status = http.StatusGatewayTimeout
		a.reason = reasonTimeout
	case a.reason == reasonUnauthorized:
		status = http.StatusUnauthorized
	}
	if !a.mayHaveRun && a.mustDecline() {
		a.reason = reasonLost
	}
	a.count(a.reason, elapsed)
	a.logRefusal(status, elapsed)
	if a.mayHaveRun || status == http.StatusUnauthorized {
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

// handleContextDone answers a request whose deadline has passed, or whose instance ends; it returns nil when the caller has
// disconnected.
func (a *activeRequest) handleContextDone(ctx context.Context) *mtingress.Response {
	defer a.cancelAll()
	if ctx.Err() != nil {
		a.cancelActiveAttempts()
		elapsed := time.Since(a.call.ArrivedAt)
		a.count("left", elapsed)
		a.gateway.requestLog.writeIfAllowed(mtevent.CallAbandoned, importanceOrdinary, a.logFields(elapsed, nil))
		return nil
	}
	elapsed := time.Since(a.call.ArrivedAt)
	// All attempts end at the same deadline; each result shows whether the request may have run.
	var helperRefusal attemptResult
	for range a.activeAttempts {
		result := <-a.results
		if result.refusal != nil {
			continue
		}
		a.sentAttempts++
		if isHelperRefusal(result) {
			helperRefusal = result
			continue
		}
		if result.delivery == mtupstream.Answered && !result.reply.Metadata.NotRun && result.reply.Remainder == nil {
			a.activeAttempts = 0
			return a.answerWithReply(result.reply, result.grant, result.cancel)
		}
		a.closeReply(result.reply)
		// The endpoint of a long response that has begun has run the request.
		a.mayHaveRun = a.mayHaveRun || result.mayHaveRun()
	}
	a.activeAttempts = 0
	if a.fallback != nil {
		return a.answerWithReply(a.fallback, a.fallbackGrant, a.cancelAll)
	}
	if helperRefusal.reply != nil && !a.mayHaveRun {
		return a.answerWithReply(helperRefusal.reply, helperRefusal.grant, helperRefusal.cancel)
	}
	status := http.StatusServiceUnavailable
	if a.mayHaveRun {
		status = http.StatusGatewayTimeout
	}
	a.reason = reasonTimeout
	if a.gateway.drainEnded.Err() != nil {
		a.reason = reasonLeaving
	}
	a.count(a.reason, elapsed)
	a.logRefusal(status, elapsed)
	return newRefusalAnswer(status, a.reason, 0)
}
