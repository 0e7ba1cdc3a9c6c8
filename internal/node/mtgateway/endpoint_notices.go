// Endpoints state in their responses, besides their entries in the store, that they are leaving or that they want no
// requests for a time. Such a notice takes effect here with the response, and reaches the other instances with the
// rows.

package mtgateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxNoticesPerMessage bounds the notices in one message; a notice takes some 30 bytes, and an instance with a role
	// sends its messages to all instances.
	maxNoticesPerMessage = 16
	// backoffJitterRatio is the part of a backoff that is added at random, so that instances do not resume at the same
	// moment.
	backoffJitterRatio = 0.25
	// maxGrantAge is the age beyond which a grant is invalid, because the process was paused after the grant.
	maxGrantAge = 2 * time.Second
)

// handleEndpointStatement applies what an endpoint states with a response.
func (g *Gateway) handleEndpointStatement(target *mtscheduler.Endpoint, statement mtresponse.Metadata) {
	isFromOtherEndpoint := statement.Misdirected || statement.EndpointID != "" && statement.EndpointID != target.ID
	if isFromOtherEndpoint || !hasNotice(statement) {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// An endpoint that is leaving repeats this in each response.
	isNew := statement.RetryAfter > 0 || statement.Leaving && !target.Draining
	g.applyNamedLimit(target, statement, now)
	if statement.Leaving {
		g.recordEndpointLeaving(mtregistry.LeaveMark{
			ID:   target.ID,
			Born: target.Born,
		}, false, now)
		// The registry may already list a later process of the endpoint; this process is leaving all the same.
		target.Draining = true
	}
	if statement.RetryAfter > 0 {
		target.ApplyBackoff(addBackoffJitter(statement.RetryAfter), now)
		g.requestLog.writeIfAllowed(mtevent.EndpointPaused, importanceFailure, logrus.Fields{
			"endpoint": target.ID,
			"rest":     statement.RetryAfter.Milliseconds(),
		})
	}
	if statement.InvalidRetryAfter != "" && !g.loggedInvalidRetryAfter[target.ID] {
		g.loggedInvalidRetryAfter[target.ID] = true
		mtevent.RetryAfterUnparsable.Log(g.logger, logrus.Fields{
			"endpoint": target.ID,
			"text":     truncateText(statement.InvalidRetryAfter),
		})
	}
	if isNew {
		g.dispatchAll(now)
	}
}

// hasNotice reports whether an endpoint states more than its load.
func hasNotice(statement mtresponse.Metadata) bool {
	return statement.Leaving || statement.RetryAfter > 0 || statement.InvalidRetryAfter != "" ||
		statement.HasRequestLimit || statement.InvalidRequestLimit != ""
}

// addBackoffJitter lengthens a backoff at random.
func addBackoffJitter(backoff time.Duration) time.Duration {
	return backoff + time.Duration(backoffJitterRatio*rand.Float64()*float64(backoff))
}

// maxLoggedTextBytes bounds the length of external text in a log line.
const maxLoggedTextBytes = 64

func truncateText(text string) string {
	if len(text) > maxLoggedTextBytes {
		return text[:maxLoggedTextBytes]
	}
	return text
}

// recordEndpointLeaving records that an endpoint is leaving, as stated to this instance or, if fromPeer is set, to
// another one; the caller holds g.mu.
func (g *Gateway) recordEndpointLeaving(notice mtregistry.LeaveMark, fromPeer bool, now time.Time) {
	if !g.registry.MarkLeaving(notice, now) {
		return
	}
	target := g.targets[notice.ID]
	if target == nil || target.Born != notice.Born || target.Draining || !g.registry.IsLeaving(notice.ID, notice.Born) {
		return
	}
	target.Draining = true
	g.endpointPool.CloseIdle(target.Address)
	mtevent.EndpointLeaving.Log(g.logger, logrus.Fields{
		"endpoint": notice.ID,
		"hearsay":  fromPeer,
	})
}

// isGrantValid reports whether a request may still be sent under a grant.
func (g *Gateway) isGrantValid(grant mtscheduler.Assignment, grantedAt, now time.Time) bool {
	// The wall clock advances while the process or its machine is suspended; the monotonic clock may not.
	if now.Round(0).Sub(grantedAt.Round(0)) > maxGrantAge {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return grant.Endpoint.IsUsable(now) && grant.Endpoint.WarmUp.AllowsAssigned(grantedAt, now)
}

// EndpointNotices returns the endpoints that this instance knows to be leaving or backing off.
func (g *Gateway) EndpointNotices(now time.Time) []*peerv1.Mark {
	return g.endpointNotices(maxNoticesPerMessage, now)
}

func (g *Gateway) endpointNotices(limit int, now time.Time) []*peerv1.Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	var notices []*peerv1.Mark
	leaving := g.registry.UnpublishedLeaveMarks()
	// Each message carries a random selection, so that all notices are sent over time.
	rand.Shuffle(len(leaving), func(i, j int) {
		leaving[i], leaving[j] = leaving[j], leaving[i]
	})
	for _, notice := range leaving[:min(len(leaving), limit)] {
		notices = append(notices, &peerv1.Mark{
			Endpoint: notice.ID,
			Born:     notice.Born,
			Seq:      notice.ThroughSeq,
		})
	}
	for _, target := range g.targets {
		if len(notices) >= limit {
			break
		}
		if backoff := target.RemainingBackoff(now); backoff > 0 {
			notices = append(notices, &peerv1.Mark{
				Endpoint: target.ID,
				Born:     target.Born,
				Rest:     uint64(backoff.Milliseconds()) + 1,
			})
		}
	}
	return notices
}

// ApplyEndpointNotices applies the notices of another instance about endpoints that are leaving or backing off.
func (g *Gateway) ApplyEndpointNotices(notices []*peerv1.Mark, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, notice := range notices {
		if notice.GetRest() == 0 {
			g.recordEndpointLeaving(mtregistry.LeaveMark{
				ID:         notice.GetEndpoint(),
				Born:       notice.GetBorn(),
				ThroughSeq: notice.GetSeq(),
			}, true, now)
			continue
		}
		if target := g.targets[notice.GetEndpoint()]; target != nil && target.Born == notice.GetBorn() {
			target.ApplyPeerBackoff(time.Duration(min(notice.GetRest(), math.MaxInt32))*time.Millisecond, now)
		}
	}
	g.dispatchAll(now)
}

func (g *Gateway) expireNotices(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.ForgetExpiredLeaveMarks(now)
	g.forgetRetiredTargets(now)
}
