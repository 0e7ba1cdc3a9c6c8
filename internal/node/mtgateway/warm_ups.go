// A cold endpoint crashes above a few requests a second of all instances together. Whether an endpoint is cold follows from its
// entries and health responses, from crashes, and from what other instances have found; each instance uses its share of the rate.

package mtgateway

import (
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtwarmup"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxWarmUpsPerMessage bounds the findings in one message of the gossip, and maxWarmUpsPerBroadcast those that are sent at
	// once; a finding takes some 30 bytes.
	maxWarmUpsPerMessage   = 16
	maxWarmUpsPerBroadcast = 128
	// warmUpFindingTTL is how long the other instances are told that an endpoint is warm.
	warmUpFindingTTL = 10 * time.Second
	// warmUpBroadcastDelay is the time within which findings are sent in one message: the endpoints of a zone crash together.
	warmUpBroadcastDelay = 10 * time.Millisecond
)

// configureWarmUps passes the warm-ups of the services to the endpoints.
func (g *Gateway) configureWarmUps(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.ForEachEntry(func(entry mtregistry.Entry, _ time.Time) {
		if target := g.targets[entry.ID]; target != nil {
			g.configureWarmUp(target, entry.Service, now)
		}
	})
}

// configureWarmUp passes the warm-up of its service to an endpoint; the caller holds g.mu.
func (g *Gateway) configureWarmUp(target *mtscheduler.Endpoint, service string, now time.Time) {
	table := g.routeTable.Load()
	if table == nil {
		return
	}
	configured := table.Services[service]
	wasCold := target.WarmUp.IsCold(now)
	target.WarmUp.Configure(configured.WarmUp, configured.WarmUpRate, now)
	if !wasCold && target.WarmUp.IsCold(now) {
		g.shareWarmUp(target, now)
	}
}

// applyWarmUpEntry applies what an entry in use states about the warm-up of its endpoint, which ends at warmAt; the caller holds
// g.mu.
func (g *Gateway) applyWarmUpEntry(target *mtscheduler.Endpoint, entry mtregistry.Entry, warmAt, now time.Time) {
	g.configureWarmUp(target, entry.Service, now)
	if warmAt.After(now) && !target.WarmUp.IsCold(now) {
		g.shareWarmUp(target, now)
	}
	target.WarmUp.ApplyEntry(entry.Seq, warmAt, now)
}

// shareWarmUp sets the share of this instance in the rate of an endpoint; the caller holds g.mu. The share must be known before the
// endpoint becomes cold, because the requests of the last second count against it.
func (g *Gateway) shareWarmUp(target *mtscheduler.Endpoint, now time.Time) {
	if rate := target.WarmUp.Rate(); rate > 0 {
		target.WarmUp.SetShare(g.warmUpSharing.ShareOf(target.ID, rate, now), now)
	}
}

// updateWarmUpShares sets the shares of this instance in the rates of cold endpoints; the caller holds g.mu.
func (g *Gateway) updateWarmUpShares(now time.Time) {
	if g.warmUpSharing.GrownAt.IsZero() || g.limitSharing.Fleet.Known > g.warmUpSharing.Fleet.Known {
		g.warmUpSharing.GrownAt = now
	}
	g.warmUpSharing.LimitSharing = g.limitSharing
	g.warmUpSharing.Started = g.startedAt
	g.warmUpSharing.Overage = g.settings().WarmUp.Overage
	g.warmUpSharing.Slack = g.settings().WarmUp.Slack
	for _, target := range g.targets {
		if target.WarmUp.IsCold(now) {
			g.shareWarmUp(target, now)
		}
	}
}

// applyWarmUpLeft applies how long an endpoint states to be cold in a response, if it does, to a request or a check that was sent at
// a time.
func (g *Gateway) applyWarmUpLeft(
	service string, target *mtscheduler.Endpoint, statement mtresponse.Metadata, sentAt time.Time,
) {
	isFromOtherEndpoint := statement.Misdirected || statement.EndpointID != "" && statement.EndpointID != target.ID
	if !statement.HasWarmUpLeft || isFromOtherEndpoint {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmUpHeaderSeen[service] = true
	if g.applyHealth(target, statement.WarmUpLeft, sentAt, now) {
		g.dispatchAll(now)
	}
}

// applyHealth applies how long an endpoint is cold by its health response, and reports whether that changes; the caller holds g.mu.
func (g *Gateway) applyHealth(target *mtscheduler.Endpoint, left time.Duration, sentAt, now time.Time) bool {
	if left > 0 && !target.WarmUp.IsCold(now) {
		g.shareWarmUp(target, now)
	}
	if !target.WarmUp.ApplyHealth(left, sentAt, now) {
		return false
	}
	g.publishWarmUp(target, "health", now)
	return true
}

// recordHealthResponse records a health response of an endpoint; the caller holds g.mu. If the endpoints of the service state while
// they are cold how long they are, one that states nothing is warm.
func (g *Gateway) recordHealthResponse(
	service string, target *mtscheduler.Endpoint, statement mtresponse.Metadata, sentAt, now time.Time,
) {
	if !statement.HasWarmUpLeft && g.warmUpHeaderSeen[service] {
		g.applyHealth(target, 0, sentAt, now)
		return
	}
	g.recordResponseOf(target, sentAt, now)
}

// recordResponseOf records a response of an endpoint to what was sent at a time; the caller holds g.mu.
func (g *Gateway) recordResponseOf(target *mtscheduler.Endpoint, sentAt, now time.Time) {
	if target.WarmUp.RecordResponse(sentAt, now) {
		g.publishWarmUp(target, "response", now)
	}
}

// isCrashSign reports whether an error shows that the process of an endpoint may have crashed or restarted: it refuses connections,
// or has closed one without a response.
func isCrashSign(err error) bool {
	for _, sign := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// recordCrashSign records the error of an attempt that got no response.
func (g *Gateway) recordCrashSign(service string, target *mtscheduler.Endpoint, err error, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyCrashSign(service, target, err, now)
}

// applyCrashSign makes an endpoint cold whose process may have crashed; the caller holds g.mu. The other instances are told once a
// check confirms it: an instance that is partitioned from all endpoints sees the same of each.
func (g *Gateway) applyCrashSign(service string, target *mtscheduler.Endpoint, err error, now time.Time) {
	if !isCrashSign(err) {
		return
	}
	g.shareWarmUp(target, now)
	if !target.WarmUp.RecordCrash(now) {
		return
	}
	g.logWarmUp(target, "crash", now)
	if !target.IsUsable(now) || !target.WarmUp.TakeCrashCheck(now) {
		return
	}
	g.endpointPool.CloseIdle(target.Address)
	go g.verifyCrash(service, target)
}

// verifyCrash checks an endpoint whose process may have crashed. One that responds states how long it is cold, if at all.
func (g *Gateway) verifyCrash(service string, target *mtscheduler.Endpoint) {
	path := "/"
	if table := g.routeTable.Load(); table != nil {
		path = table.Services[service].Health
	}
	sentAt := time.Now()
	statement, err := g.endpointPool.Probe(context.Background(), target.Address, path, func(statement mtresponse.Metadata) {
		g.applyWarmUpLeft(service, target, statement, sentAt)
	})
	hasCrashed := err != nil && g.hasCrashed(service, target)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	isSame := statement.EndpointID == "" || statement.EndpointID == target.ID
	switch {
	case err == nil && isSame:
		g.recordHealthResponse(service, target, statement, sentAt, now)
	case hasCrashed:
		g.announceWarmUp(target)
	}
}

// publishWarmUp logs a change of an endpoint between cold and warm, which the cause states, and tells the other instances; the
// caller holds g.mu.
func (g *Gateway) publishWarmUp(target *mtscheduler.Endpoint, cause string, now time.Time) {
	g.logWarmUp(target, cause, now)
	g.announceWarmUp(target)
}

func (g *Gateway) logWarmUp(target *mtscheduler.Endpoint, cause string, now time.Time) {
	event := mtevent.EndpointWarm
	if target.WarmUp.IsCold(now) {
		event = mtevent.EndpointCold
	}
	g.requestLog.writeIfAllowed(event, importanceFailure, logrus.Fields{
		"endpoint": target.ID,
		"cause":    cause,
	})
}

// announceWarmUp tells the other instances soon whether an endpoint is cold; the caller holds g.mu.
func (g *Gateway) announceWarmUp(target *mtscheduler.Endpoint) {
	g.pendingWarmUps[target] = true
	if len(g.pendingWarmUps) == 1 {
		time.AfterFunc(warmUpBroadcastDelay, g.sendPendingWarmUps)
	}
}

func (g *Gateway) sendPendingWarmUps() {
	now := time.Now()
	g.mu.Lock()
	var warmUps []*peerv1.WarmUp
	for target := range g.pendingWarmUps {
		if warmUp := warmUpMessage(target, now); warmUp != nil {
			warmUps = append(warmUps, warmUp)
		}
	}
	clear(g.pendingWarmUps)
	g.mu.Unlock()
	for chunk := range slices.Chunk(warmUps, maxWarmUpsPerBroadcast) {
		g.broadcastWarmUps(chunk, now)
	}
}

// warmUpMessage returns what the other instances must know of the warm-up of an endpoint, or nil; the caller holds g.mu.
func warmUpMessage(target *mtscheduler.Endpoint, now time.Time) *peerv1.WarmUp {
	finding, found := target.WarmUp.Finding(warmUpFindingTTL, now)
	if !found {
		return nil
	}
	return &peerv1.WarmUp{
		Endpoint: target.ID,
		Born:     target.Born,
		Left:     milliseconds(finding.Left),
		Age:      milliseconds(now.Sub(finding.At)),
	}
}

// WarmUps returns findings about endpoints for the next message to other instances: half of them are the last ones, the others are
// chosen at random, so that all are sent over time.
func (g *Gateway) WarmUps(now time.Time) []*peerv1.WarmUp {
	g.mu.Lock()
	defer g.mu.Unlock()
	var warmUps []*peerv1.WarmUp
	for _, target := range g.targets {
		if warmUp := warmUpMessage(target, now); warmUp != nil {
			warmUps = append(warmUps, warmUp)
		}
	}
	if len(warmUps) <= maxWarmUpsPerMessage {
		return warmUps
	}
	slices.SortFunc(warmUps, func(a, b *peerv1.WarmUp) int {
		return int(min(a.GetAge(), math.MaxInt32)) - int(min(b.GetAge(), math.MaxInt32))
	})
	others := warmUps[maxWarmUpsPerMessage/2:]
	rand.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	return warmUps[:maxWarmUpsPerMessage]
}

// ApplyWarmUps applies what another instance has found about endpoints.
func (g *Gateway) ApplyWarmUps(warmUps []*peerv1.WarmUp, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := false
	for _, warmUp := range warmUps {
		target := g.targets[warmUp.GetEndpoint()]
		if target == nil || target.Born != warmUp.GetBorn() {
			continue
		}
		g.shareWarmUp(target, now)
		if target.WarmUp.ApplyFinding(mtwarmup.Finding{
			Left: time.Duration(min(warmUp.GetLeft(), math.MaxInt32)) * time.Millisecond,
			At:   now.Add(-time.Duration(min(warmUp.GetAge(), math.MaxInt32)) * time.Millisecond),
		}, now) {
			changed = true
			g.logWarmUp(target, "peer", now)
		}
	}
	if changed {
		g.dispatchAll(now)
	}
}

// countColdEndpoints returns the number of cold endpoints.
func (g *Gateway) countColdEndpoints(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, target := range g.targets {
		if target.WarmUp.IsCold(now) {
			count++
		}
	}
	return count
}
