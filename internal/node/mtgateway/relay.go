// A request that this instance can't serve itself is passed on to a helper, which handles it like one of its own callers.
// It arrives there on a listener of its own, whose requests are never passed on again.

package mtgateway

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// relayHeaderBytes is what the instance that passes a request on adds to its header, at most.
const relayHeaderBytes = 1 << 10

const (
	// relayCountedHeader marks a relayed request that the retry budget of the instance that passed it on has counted.
	relayCountedHeader = "Mangotack-Relay-Counted"
	// relayObjectiveHeader has the time that is left of the latency objective, in milliseconds; it may be negative.
	relayObjectiveHeader = "Mangotack-Relay-Objective"
	// relayTenantHeader has the name of the tenant that the instance which passed a request on has found by its key, and
	// relayChargedHeader marks a request whose key that instance has checked and whose quota it has charged.
	relayTenantHeader  = "Mangotack-Relay-Tenant"
	relayChargedHeader = "Mangotack-Relay-Charged"
	// relayKeyDigestHeader has the hash of the key, by which the helper learns whether the key was revoked.
	relayKeyDigestHeader = "Mangotack-Relay-Key-Digest"
	// relayHeaderPrefix begins the names of all these headers.
	relayHeaderPrefix = "Mangotack-Relay-"
	// maxRelayedObjective bounds the time in relayObjectiveHeader, in both directions.
	maxRelayedObjective = time.Hour
)

// relayOrigin is what the instance that passed a request on states about it.
type relayOrigin struct {
	// isCounted is set if the retry budget of that instance has counted the request.
	isCounted bool
	// objectiveLeft is the time that is left of the latency objective, if hasObjective is set; an instance of an older
	// build does not state it.
	objectiveLeft time.Duration
	hasObjective  bool
	// tenant is the name of the tenant, or empty if the request has none.
	tenant string
	// isCharged is set if that instance has checked the key and charged the quota; an instance of an older build does
	// neither.
	isCharged bool
	// keyDigest is the hash of the key, or empty.
	keyDigest string
}

// hasAuthorized reports whether that instance has found the tenant of the request, or that it needs none.
func (o *relayOrigin) hasAuthorized() bool {
	return o != nil && (o.isCharged || o.tenant != "")
}

// takeRelayHeader removes what the instance that passed a request on has added to its header, and returns it.
func takeRelayHeader(header http.Header) *relayOrigin {
	origin := &relayOrigin{
		isCounted: header.Get(relayCountedHeader) != "",
		tenant:    header.Get(relayTenantHeader),
		isCharged: header.Get(relayChargedHeader) == "1",
		keyDigest: header.Get(relayKeyDigestHeader),
	}
	if left, err := strconv.ParseFloat(header.Get(relayObjectiveHeader), 64); err == nil && !math.IsNaN(left) {
		limit := float64(maxRelayedObjective.Milliseconds())
		origin.objectiveLeft = time.Duration(max(-limit, min(left, limit)) * float64(time.Millisecond))
		origin.hasObjective = true
	}
	removeRelayHeader(header)
	return origin
}

// removeRelayHeader removes what only another instance may state about a request.
func removeRelayHeader(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			delete(header, name)
		}
	}
}

// setRelayHeader adds what the helper must know to the header of a request.
func (a *activeRequest) setRelayHeader(header http.Header, now time.Time) {
	removeRelayHeader(header)
	if a.isCounted {
		header.Set(relayCountedHeader, "1")
	}
	a.authorization.setRelayHeader(header)
	header.Set(relayObjectiveHeader, strconv.FormatInt(a.objective.Sub(now).Milliseconds(), 10))
}

// countRequest counts the request in the retry budget, unless another instance has counted it or will do so.
func (a *activeRequest) countRequest() {
	if a.isCounted || a.activeRelays > 0 {
		return
	}
	a.isCounted = true
	a.gateway.retryBudget(a.service).countRequest(a.call.ArrivedAt)
}

// relayedCalls handles the requests that other instances pass on.
type relayedCalls struct {
	gateway *Gateway
}

// Handle answers one request; nil closes its connection without an answer.
func (r relayedCalls) Handle(ctx context.Context, call *mtingress.Call) *mtingress.Response {
	return r.gateway.handle(ctx, call, takeRelayHeader(call.Request.Header))
}

// relayPort returns the port of the listener for relayed requests as rows name it, or 0.
func relayPort(address string) uint32 {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0
	}
	return uint32(port)
}

// relayAddress returns the address at which an instance takes relayed requests, or an empty text.
func relayAddress(row *peerv1.Row) string {
	host, _, err := net.SplitHostPort(row.GetMesh())
	if err != nil || row.GetRelay() == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(row.GetRelay()), 10))
}

// relayIngressLimits returns the limits for requests that other instances pass on.
func (g *Gateway) relayIngressLimits() mtingress.Limits {
	limits := g.ingressLimits()
	if limits.Header > 0 {
		limits.Header += relayHeaderBytes
	}
	return limits
}

// opaqueResponses reads nothing from the headers of a helper's responses: what endpoints state was meant for the helper.
type opaqueResponses struct{}

// ParseResponseHeader returns no metadata.
func (opaqueResponses) ParseResponseHeader(int, http.Header) (metadata mtresponse.Metadata) {
	return metadata
}

// relay passes the request on to a helper.
func (a *activeRequest) relay(ctx context.Context, helper mtsteering.Candidate) attemptResult {
	header := forwardedHeader(a.call.Request.Header)
	// The helper names the endpoint that it expects.
	a.gateway.headerCodec.SetRequestHeader(header, "", time.Until(a.deadline))
	a.authorization.setTenantHeader(a.gateway.headerCodec, header)
	a.setRelayHeader(header, time.Now())
	a.gateway.helpers.recordSent(helper.Name)
	reply, delivery, err := a.gateway.relayPool.Send(ctx, mtupstream.Request{
		Address:    helper.RelayAddress,
		Method:     a.call.Request.Method,
		Target:     a.call.Request.RequestURI,
		Host:       a.call.Request.Host,
		Header:     header,
		Body:       a.call.Body,
		MoreBody:   a.call.MoreBody,
		Idempotent: a.route.Idempotent,
		MaySend: func() bool {
			return a.recheckAuthorization(time.Now()) == nil
		},
	}, a.deadline)
	a.gateway.metrics.countRelay(a.service, reply)
	a.recordInvalidResponse(helper.RelayAddress, err, time.Now())
	result := attemptResult{
		helper:   helper.Name,
		reply:    reply,
		delivery: delivery,
		err:      err,
	}
	a.gateway.helpers.recordResult(ctx, a.service, result, time.Now())
	if errors.Is(err, mtupstream.ErrSendNotAllowed) {
		result.refusal = a.recheckAuthorization(time.Now())
	}
	return result
}

// handleRelayReply passes the answer of a helper on to the caller. A failure waits for the attempts that still run, and a
// refusal, which states that the request has not run, is not passed on if an earlier attempt may have run.
func (a *activeRequest) handleRelayReply(result attemptResult) *mtingress.Response {
	isRefusal := isHelperRefusal(result)
	if a.activeAttempts > 0 && (isRefusal || result.reply.Status >= http.StatusInternalServerError) {
		a.mayHaveRun = a.mayHaveRun || result.mayHaveRun()
		a.closeReply(result.reply)
		result.cancel()
		return nil
	}
	if isRefusal && a.mayHaveRun {
		a.reason = result.reply.Header.Get(mtoutcome.ReasonHeader)
		a.closeReply(result.reply)
		result.cancel()
		return a.answerFailure()
	}
	return a.answerWithReply(result.reply, result.grant, result.cancel)
}

// isHelperRefusal reports whether a helper has answered that the request has not run. The other refusals of an instance,
// 502 and 504, state that it may have run.
func isHelperRefusal(result attemptResult) bool {
	return result.helper != "" && result.reply != nil && result.reply.Header.Get(mtoutcome.ReasonHeader) != "" &&
		result.reply.Status != http.StatusBadGateway && result.reply.Status != http.StatusGatewayTimeout
}

// mustDecline reports whether the request was passed on to this instance, which does not reach its service either.
func (a *activeRequest) mustDecline() bool {
	return a.isRelayed && slices.Contains(a.gateway.currentLostServices(), a.service)
}

// decline tells the instance that passed the request on that it has not run here, so that it tries another helper.
func (a *activeRequest) decline() *mtingress.Response {
	a.count(reasonLost, time.Since(a.call.ArrivedAt))
	return newRefusalAnswer(http.StatusServiceUnavailable, reasonLost, minRetryDelay)
}

// isDeclined reports whether a helper has declined the request: it has lost the service as well, or its configuration is
// too old to tell whether the request may run.
func isDeclined(result attemptResult) bool {
	if result.helper == "" || result.reply == nil || result.reply.Status != http.StatusServiceUnavailable {
		return false
	}
	reason := result.reply.Header.Get(mtoutcome.ReasonHeader)
	return reason == reasonLost || reason == reasonUndecided
}

// isWronglyUnauthorized reports whether a helper refuses the request as unauthorized although the configuration in force
// here admits it. The helper may not have it yet, so its 401 must not reach the caller.
func (a *activeRequest) isWronglyUnauthorized(result attemptResult) bool {
	return result.helper != "" && result.reply != nil && result.reply.Status == http.StatusUnauthorized &&
		result.reply.Header.Get(mtoutcome.ReasonHeader) == reasonUnauthorized &&
		a.recheckAuthorization(time.Now()) == nil
}

// handleDeclinedRelay passes the request on to another helper, or answers it.
func (a *activeRequest) handleDeclinedRelay(ctx context.Context, result attemptResult) *mtingress.Response {
	a.closeReply(result.reply)
	result.cancel()
	a.declinedRelays++
	a.reason = reasonLost
	if a.mayRetry(false) {
		a.startAttempt(ctx, false)
		return nil
	}
	if a.activeAttempts > 0 {
		return nil
	}
	return a.answerFailure()
}
