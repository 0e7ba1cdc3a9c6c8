package mtgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
)

const (
	// hedgeFactor is the multiple of the expected duration after which an idempotent request may be sent to a second
	// endpoint.
	hedgeFactor = 2.5
	// minHedgeDelay keeps a scheduling delay from sending short requests twice.
	minHedgeDelay = 60 * time.Millisecond
	// hedgeRetryInterval is the time between two attempts to find a second endpoint.
	hedgeRetryInterval = 100 * time.Millisecond
	// maxUnsentRetries bounds the retries after attempts of which no byte was sent; no endpoint counts these attempts.
	maxUnsentRetries = 3
	// maxDeclinedRelays bounds the helpers that a request is passed on to one after the other because each declines it.
	maxDeclinedRelays = 12
)

// reasonTimeout is the refusal reason at the deadline of a request.
const reasonTimeout = "timeout"

// reasonBroken is the refusal reason of a request whose endpoint gave no whole answer.
const reasonBroken = "lost"

// activeRequest serves one request of a caller with as many attempts as its route allows.
type activeRequest struct {
	gateway *Gateway
	call    *mtingress.Call
	route   *mtroute.Route
	table   *mtroute.Table
	// authorization tells whose request it is.
	authorization authorization
	service       string
	id            string
	objective     time.Time
	deadline      time.Time

	results chan attemptResult
	// activeAttempts is the number of attempts that wait for an endpoint or are in flight.
	activeAttempts int
	// sentAttempts is the number of endpoints that the request was sent to, and unsentAttempts the number of attempts
	// of which no byte was sent.
	sentAttempts   int
	unsentAttempts int
	// grants lists the endpoints that the request was assigned to; the goroutines of the attempts append to it.
	grants grantList
	// lastRefusal is the last refusal by the placer.
	lastRefusal *mtscheduler.Rejection
	// mayHaveRun is set once an endpoint may have run the request without answering it.
	mayHaveRun bool
	// fallback is the reply to use when no better one arrives, and fallbackGrant the grant that it belongs to.
	fallback      *mtupstream.Response
	fallbackGrant mtscheduler.Assignment
	retryAfter    time.Duration
	reason        string
	// endpointsFull is set when an endpoint that did not take the request was full, was unreachable or reported no
	// load.
	endpointsFull bool
	// isRelayed is set when another instance has passed the request on, so that it must not be passed on again.
	isRelayed bool
	// isCounted is set once a retry budget, of this instance or of the one that passed the request on, has counted it.
	isCounted bool
	// triedHelpers are the instances that the request was passed on to, and activeRelays the number of them that have
	// not answered.
	triedHelpers []string
	activeRelays int
	// declinedRelays is the number of helpers that have declined the request.
	declinedRelays int
	// budgetDenied is set when the budget denied the last extra attempt.
	budgetDenied bool
	// cancelAll cancels all attempts; attemptCancels contains the cancel function of each running attempt by its
	// number. attemptCount is the number of attempts so far, and thereby the number of the last one.
	cancelAll      context.CancelFunc
	attemptCancels map[int]context.CancelFunc
	attemptCount   int

	fingerprintOnce  sync.Once
	fingerprintValue mtfingerprint.Fingerprint
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// helper is the name of the instance that the request was passed on to, or empty.
	helper   string
	attempt  int
	cancel   context.CancelFunc
	refusal  *mtscheduler.Rejection
	grant    mtscheduler.Assignment
	reply    *mtupstream.Response
	delivery mtupstream.DeliveryStatus
	err      error
	isHedge  bool
}

// mayHaveRun reports whether the attempt may have run the request, also if its response can't be used.
func (r attemptResult) mayHaveRun() bool {
	switch {
	case r.refusal != nil || r.delivery == mtupstream.NotSent:
		return false
	case r.delivery == mtupstream.MayHaveRun:
		return true
	default:
		return !r.reply.Metadata.NotRun && !isHelperRefusal(r)
	}
}

// newActiveRequest returns a request; origin is nil unless another instance has passed it on.
func newActiveRequest(
	gateway *Gateway, call *mtingress.Call, route *mtroute.Route, table *mtroute.Table, authorization authorization,
	times requestTimes, origin *relayOrigin,
) *activeRequest {
	return &activeRequest{
		gateway:        gateway,
		call:           call,
		route:          route,
		table:          table,
		authorization:  authorization,
		service:        route.PickService(),
		id:             times.attemptID,
		objective:      times.objective,
		deadline:       times.deadline,
		results:        make(chan attemptResult, route.Attempts+maxUnsentRetries+maxDeclinedRelays+2),
		attemptCancels: map[int]context.CancelFunc{},
		isRelayed:      origin != nil,
		isCounted:      origin != nil && origin.isCounted,
	}
}

// run returns the answer, or nil when the caller has disconnected.
func (a *activeRequest) run(ctx context.Context) *mtingress.Response {
	if a.mustDecline() {
		return a.decline()
	}
	attemptsCtx, cancel := context.WithDeadline(ctx, a.deadline)
	a.cancelAll = cancel
	defer context.AfterFunc(a.gateway.drainEnded, cancel)()
	a.startAttempt(attemptsCtx, false)
	a.countRequest()
	hedgeTimer := time.NewTimer(a.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case result := <-a.results:
			a.activeAttempts--
			delete(a.attemptCancels, result.attempt)
			if answer := a.handleResult(attemptsCtx, result); answer != nil {
				return answer
			}
		case <-hedgeTimer.C:
			a.tryHedge(attemptsCtx)
			hedgeTimer.Reset(hedgeRetryInterval)
		case <-attemptsCtx.Done():
			return a.handleContextDone(ctx)
		}
	}
}

// hedgeDelay returns how long to wait for an answer before the request is hedged.
func (a *activeRequest) hedgeDelay() time.Duration {
	if !a.route.Idempotent || a.route.Attempts < 2 {
		return time.Until(a.deadline) + time.Second
	}
	expected := a.gateway.expectedDuration(a.service, a.placementRequest())
	return max(minHedgeDelay, time.Duration(hedgeFactor*float64(expected)))
}

func (a *activeRequest) placementRequest() *mtscheduler.Request {
	request := &mtscheduler.Request{
		Route:          a.route.Name,
		ArrivedAt:      a.call.ArrivedAt,
		Objective:      a.objective,
		Deadline:       a.deadline,
		TenantPriority: a.route.Priority,
		Priority:       a.route.Priority,
		TriedEndpoints: a.grants.endpointIDs(),
	}
	a.authorization.setShare(request, a.table)
	return request
}

// startAttempt waits for an endpoint and sends the request to it, or passes it on to a helper, in a goroutine of its own.
func (a *activeRequest) startAttempt(ctx context.Context, isHedge bool) {
	helper, isPassedOn := a.pickHelper(time.Now())
	if isPassedOn {
		a.triedHelpers = append(a.triedHelpers, helper.Name)
		a.activeRelays++
	}
	a.activeAttempts++
	a.attemptCount++
	attempt := a.attemptCount
	attemptCtx, cancel := context.WithCancel(ctx)
	a.attemptCancels[attempt] = cancel
	request := a.placementRequest()
	request.IsHedge = isHedge
	go func() {
		result := a.attempt(attemptCtx, request, helper, isPassedOn)
		result.attempt = attempt
		result.cancel = cancel
		result.isHedge = isHedge
		a.results <- result
	}()
}

// attempt passes the request on to a helper, or sends it to an endpoint once it may be sent.
func (a *activeRequest) attempt(
	ctx context.Context, request *mtscheduler.Request, helper mtsteering.Candidate, isPassedOn bool,
) attemptResult {
	if rejection := a.recheckAuthorization(time.Now()); rejection != nil {
		return attemptResult{
			helper:  helper.Name,
			refusal: rejection,
		}
	}
	if isPassedOn {
		// The helper decides whether it may be sent.
		return a.relay(ctx, helper)
	}
	isTrial, rejection := a.admit(ctx)
	if rejection != nil {
		return attemptResult{
			refusal: rejection,
		}
	}
	if isTrial {
		defer a.endTrial()
	}
	return a.assignAndSend(ctx, request, isTrial)
}

// pickHelper returns the instance to pass the request on to, if this one can't serve it.
func (a *activeRequest) pickHelper(now time.Time) (helper mtsteering.Candidate, found bool) {
	if a.isRelayed {
		return mtsteering.Candidate{}, false
	}
	return a.gateway.pickHelper(a.service, a.triedHelpers, now)
}

// assignAndSend waits for an endpoint and sends the request to it; isTrial is set for a suspected request.
func (a *activeRequest) assignAndSend(ctx context.Context, request *mtscheduler.Request, isTrial bool) attemptResult {
	enqueued := time.Now()
	grant, refusal := a.gateway.assignEndpoint(ctx, a.service, request)
	if refusal != nil {
		return attemptResult{
			refusal: refusal,
		}
	}
	a.grants.add(grant)
	wait := time.Since(enqueued)
	a.gateway.metrics.observeWait(a.service, wait)
	a.gateway.metrics.observeTenantWait(a.authorization.tenant, wait)
	return a.send(ctx, grant, isTrial)
}

// send sends the request to the endpoint of a grant; isTrial is set for a suspected request.
func (a *activeRequest) send(ctx context.Context, grant mtscheduler.Assignment, isTrial bool) attemptResult {
	started := time.Now()
	header := forwardedHeader(a.call.Request.Header)
	a.gateway.headerCodec.SetRequestHeader(header, grant.Endpoint.ID, time.Until(a.deadline))
	a.authorization.setTenantHeader(a.gateway.headerCodec, header)
	reply, delivery, err := a.gateway.endpointPool.Send(ctx, mtupstream.Request{
		Address:    grant.Endpoint.Address,
		Method:     a.call.Request.Method,
		Target:     a.call.Request.RequestURI,
		Host:       a.call.Request.Host,
		Header:     header,
		Body:       a.call.Body,
		MoreBody:   a.call.MoreBody,
		AttemptID:  a.id,
		Idempotent: a.route.Idempotent,
		OnHeader: func(statement mtresponse.Metadata) {
			a.gateway.handleEndpointStatement(grant.Endpoint, statement)
			a.gateway.applyWarmUpLeft(a.service, grant.Endpoint, statement, started)
		},
		OnConnected: func() {
			a.gateway.recordConnected(a.service)
		},
		MaySend: func() bool {
			now := time.Now()
			return a.gateway.isGrantValid(grant, started, now) && (isTrial || !a.isSuspected()) &&
				a.recheckAuthorization(now) == nil
		},
	}, a.deadline)
	now := time.Now()
	verdict := a.verdict(ctx, reply, delivery)
	if errors.Is(err, mtupstream.ErrSendNotAllowed) {
		verdict = mtscheduler.Abandoned
	}
	var statement *mtresponse.Metadata
	size := int64(0)
	if reply != nil {
		statement = &reply.Metadata
		size = max(reply.BodyLength, int64(len(reply.Body)))
	}
	a.gateway.finishAttempt(a.service, a.route.Name, grant, mtscheduler.AttemptResult{
		Verdict:       verdict,
		ResponseTime:  now.Sub(started),
		ResponseBytes: size,
	}, statement, now)
	a.gateway.recordReach(a.service, grant.Endpoint, verdict, delivery, now)
	if ctx.Err() == nil && delivery != mtupstream.Answered {
		a.gateway.recordCrashSign(a.service, grant.Endpoint, err, now)
	}
	a.gateway.metrics.countAttempt(a.service, verdict)
	a.recordInvalidResponse(grant.Endpoint.Address, err, now)
	a.collectEvidence(ctx, grant, reply, delivery)
	if verdict == mtscheduler.Failed || verdict == mtscheduler.Shed {
		a.logAttemptFailure(grant, reply, err, started, now)
	}
	result := attemptResult{
		grant:    grant,
		reply:    reply,
		delivery: delivery,
		err:      err,
	}
	if errors.Is(err, mtupstream.ErrSendNotAllowed) {
		result.refusal = a.recheckAuthorization(now)
	}
	return result
}

// collectEvidence records what the end of an attempt tells of whether the request crashes endpoints.
func (a *activeRequest) collectEvidence(
	ctx context.Context, grant mtscheduler.Assignment, reply *mtupstream.Response, delivery mtupstream.DeliveryStatus,
) {
	switch {
	case delivery == mtupstream.Answered && !reply.Metadata.NotRun && reply.Remainder == nil:
		a.recordAnswered(time.Now())
	case delivery == mtupstream.MayHaveRun && ctx.Err() == nil && a.gateway.hasCrashed(a.service, grant.Endpoint):
		a.recordCrash(grant, time.Now())
	}
}

func (a *activeRequest) verdict(
	ctx context.Context, reply *mtupstream.Response, delivery mtupstream.DeliveryStatus,
) mtscheduler.Verdict {
	switch {
	case ctx.Err() != nil && delivery != mtupstream.Answered:
		if time.Now().Before(a.deadline) {
			return mtscheduler.Abandoned
		}
		return mtscheduler.Failed
	case delivery != mtupstream.Answered:
		return mtscheduler.Failed
	case reply.Metadata.NotRun:
		return mtscheduler.Shed
	case reply.Status >= http.StatusInternalServerError:
		return mtscheduler.Failed
	default:
		return mtscheduler.Served
	}
}

// handleResult handles the result of one attempt; it returns nil while the request continues.
func (a *activeRequest) handleResult(ctx context.Context, result attemptResult) *mtingress.Response {
	if result.helper != "" {
		a.activeRelays--
	}
	if result.refusal != nil {
		result.cancel()
		return a.handleRefusal(ctx, result)
	}
	if isDeclined(result) || a.isWronglyUnauthorized(result) {
		return a.handleDeclinedRelay(ctx, result)
	}
	if result.delivery != mtupstream.NotSent {
		a.sentAttempts++
	} else {
		a.unsentAttempts++
	}
	mayHaveRun := false
	switch {
	case ctx.Err() != nil && result.reply != nil && result.reply.Remainder != nil:
		// The rest of the response ends with the context, so it can't be passed on.
		mayHaveRun = result.mayHaveRun()
		a.reason = "lost"
		a.closeReply(result.reply)
	case result.helper != "" && result.delivery == mtupstream.Answered:
		return a.handleRelayReply(result)
	case result.delivery == mtupstream.MayHaveRun:
		mayHaveRun = true
		a.reason = reasonBroken
	case result.delivery == mtupstream.NotSent:
		a.reason = "unreached"
		a.endpointsFull = true
	case result.reply.Metadata.NotRun:
		a.reason = "shed"
		report := result.reply.Metadata.LoadReport
		a.endpointsFull = a.endpointsFull || !result.reply.Metadata.HasLoadReport ||
			report.Running+report.Waiting >= report.Slots
		a.closeReply(result.reply)
	case result.reply.Status >= http.StatusInternalServerError && a.route.Idempotent && result.reply.Remainder == nil:
		mayHaveRun = true
		a.reason = "failed"
		a.fallback, a.fallbackGrant = result.reply, result.grant
	default:
		return a.answerWithReply(result.reply, result.grant, result.cancel)
	}
	result.cancel()
	a.mayHaveRun = a.mayHaveRun || mayHaveRun
	if a.mayRetry(mayHaveRun) {
		a.startAttempt(ctx, false)
		return nil
	}
	if a.activeAttempts > 0 {
		return nil
	}
	return a.answerFailure()
}

// handleRefusal handles an attempt that got no endpoint.
func (a *activeRequest) handleRefusal(ctx context.Context, result attemptResult) *mtingress.Response {
	if !result.isHedge && result.refusal.Reason != mtscheduler.NoUntriedEndpoint {
		a.reason = result.refusal.Reason
		a.lastRefusal = result.refusal
		a.retryAfter = result.refusal.RetryAfter
	}
	switch {
	case result.refusal.Reason == reasonLost && !result.isHedge:
		a.startAttempt(ctx, false)
		return nil
	case a.activeAttempts > 0 || result.refusal.Reason == reasonExpired:
		return nil
	case result.isHedge && a.mayRetry(a.mayHaveRun):
		// The first attempt failed while the hedge waited for an endpoint.
		a.startAttempt(ctx, false)
		return nil
	default:
		return a.answerFailure()
	}
}

// mayRetry reports whether the request may be sent to another endpoint.
func (a *activeRequest) mayRetry(mayHaveRun bool) bool {
	if mayHaveRun && !a.route.Idempotent || a.sentAttempts+a.activeAttempts >= a.route.Attempts ||
		a.unsentAttempts > maxUnsentRetries || a.declinedRelays > maxDeclinedRelays {
		return false
	}
	now := time.Now()
	if !now.Before(a.deadline) || a.isQuarantined(now) {
		return false
	}
	return a.sentAttempts == 0 || a.takeExtraAttempt("retry", now)
}

// takeExtraAttempt takes one retry or hedge from the budget and reports whether it is allowed.
func (a *activeRequest) takeExtraAttempt(kind string, now time.Time) bool {
	allowed, usage := a.gateway.retryBudget(a.service).takeExtraAttempt(now)
	a.gateway.metrics.countExtraAttempt(a.service, kind, allowed)
	if allowed || !a.budgetDenied {
		a.logExtraAttempt(kind, allowed, usage, now)
	}
	a.budgetDenied = !allowed
	return allowed
}

// tryHedge sends an idempotent request to a second endpoint with a free slot while the first has not answered.
func (a *activeRequest) tryHedge(ctx context.Context) {
	now := time.Now()
	if !a.route.Idempotent || a.activeAttempts != 1 || a.activeRelays > 0 || a.sentAttempts+2 > a.route.Attempts || a.isSuspected() {
		return
	}
	if _, hasHelper := a.pickHelper(now); !hasHelper && !a.gateway.hasFreeSlot(a.service, now) {
		return
	}
	if a.takeExtraAttempt("hedge", now) {
		a.startAttempt(ctx, true)
	}
}
