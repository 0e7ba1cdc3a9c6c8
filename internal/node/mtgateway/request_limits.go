// An endpoint in need names in its responses how many requests a second it takes from all instances together. Such a
// limit takes effect here with the response, and reaches the other instances with the rows. Each instance uses its share.

package mtgateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtrequestlimit"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// maxLimitsPerMessage bounds the limits in one message; a limit takes some 40 bytes.
	maxLimitsPerMessage = 16
	// liftedLimitTTL is how long the other instances are told that an endpoint no longer names a limit.
	liftedLimitTTL = 10 * time.Second
)

// applyNamedLimit applies the limit that a response of an endpoint names, if any; the caller holds g.mu.
func (g *Gateway) applyNamedLimit(target *mtscheduler.Endpoint, statement mtresponse.Metadata, now time.Time) {
	if statement.HasRequestLimit {
		g.applyLimitStatement(target, mtrequestlimit.Statement{
			PerSecond: statement.RequestLimit,
			IsLimited: true,
			At:        now,
		}, false, now)
	}
	if statement.InvalidRequestLimit != "" && !g.loggedInvalidLimits[target.ID] {
		g.loggedInvalidLimits[target.ID] = true
		mtevent.RequestLimitUnparsable.Log(g.logger, logrus.Fields{
			"endpoint": target.ID,
			"text":     truncateText(statement.InvalidRequestLimit),
		})
	}
}

// applyMissingLimit lifts the limit of an endpoint whose response to a request that it ran names none; the caller holds
// g.mu. Health checks and refusals may not name the limit, so they lift none.
func (g *Gateway) applyMissingLimit(target *mtscheduler.Endpoint, statement mtresponse.Metadata, now time.Time) {
	if statement.HasRequestLimit || statement.InvalidRequestLimit != "" || !target.RequestLimit.IsLimited(now) {
		return
	}
	g.applyLimitStatement(target, mtrequestlimit.Statement{
		At: now,
	}, false, now)
}

// applyLimitStatement applies what an endpoint has stated to this instance or, if fromPeer is set, to another one; the
// caller holds g.mu.
func (g *Gateway) applyLimitStatement(
	target *mtscheduler.Endpoint, statement mtrequestlimit.Statement, fromPeer bool, now time.Time,
) {
	target.RequestLimit.SetShare(g.limitSharing.ShareOf(target.ID), now)
	if !target.RequestLimit.Apply(statement, now) {
		return
	}
	fields := logrus.Fields{
		"endpoint": target.ID,
		"hearsay":  fromPeer,
	}
	event := mtevent.EndpointUnlimited
	if statement.IsLimited {
		event = mtevent.EndpointLimited
		fields["perSecond"] = statement.PerSecond
	}
	event.Log(g.logger, fields)
}

// updateLimitShares sets the shares of this instance in the limits of endpoints.
func (g *Gateway) updateLimitShares(receivers []mtsteering.Candidate, fleet mtsteering.FleetCounts, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limitSharing = mtsteering.LimitSharing{
		Instance:  g.settings().Instance,
		Receivers: receivers,
		Fleet:     fleet,
	}
	for _, target := range g.targets {
		if target.RequestLimit.IsLimited(now) {
			target.RequestLimit.SetShare(g.limitSharing.ShareOf(target.ID), now)
		}
	}
	g.updateWarmUpShares(now)
}

// countLimitedEndpoints returns the number of endpoints that name a limit.
func (g *Gateway) countLimitedEndpoints(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, target := range g.targets {
		if target.RequestLimit.IsLimited(now) {
			count++
		}
	}
	return count
}

// EndpointLimits returns the limits that endpoints have named or lifted, for the next message to other instances.
func (g *Gateway) EndpointLimits(now time.Time) []*peerv1.Limit {
	return g.endpointLimits(maxLimitsPerMessage, now)
}

// endpointLimits returns at most limit of the limits: half are the last ones to have changed, the others are chosen at
// random, so that all are sent over time.
func (g *Gateway) endpointLimits(limit int, now time.Time) []*peerv1.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	var stated []*mtscheduler.Endpoint
	for _, target := range g.targets {
		changedAt := target.RequestLimit.ChangedAt()
		if target.RequestLimit.IsLimited(now) || !changedAt.IsZero() && now.Sub(changedAt) < liftedLimitTTL {
			stated = append(stated, target)
		}
	}
	slices.SortFunc(stated, func(a, b *mtscheduler.Endpoint) int {
		return b.RequestLimit.ChangedAt().Compare(a.RequestLimit.ChangedAt())
	})
	if len(stated) > limit {
		others := stated[limit/2:]
		rand.Shuffle(len(others), func(i, j int) {
			others[i], others[j] = others[j], others[i]
		})
		stated = stated[:limit]
	}
	limits := make([]*peerv1.Limit, 0, len(stated))
	for _, target := range stated {
		statement := target.RequestLimit.Statement()
		limits = append(limits, &peerv1.Limit{
			Endpoint: target.ID,
			Born:     target.Born,
			Named:    statement.IsLimited,
			Rate:     statement.PerSecond,
			Age:      uint64(max(0, now.Sub(statement.At).Milliseconds())),
		})
	}
	return limits
}

// ApplyEndpointLimits applies the limits that endpoints have named or lifted in responses to another instance.
func (g *Gateway) ApplyEndpointLimits(limits []*peerv1.Limit, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, limit := range limits {
		target := g.targets[limit.GetEndpoint()]
		isValid := limit.GetRate() >= 0 && !math.IsInf(limit.GetRate(), 0)
		if target == nil || target.Born != limit.GetBorn() || !isValid {
			continue
		}
		g.applyLimitStatement(target, mtrequestlimit.Statement{
			PerSecond: limit.GetRate(),
			IsLimited: limit.GetNamed(),
			At:        now.Add(-time.Duration(min(limit.GetAge(), math.MaxInt32)) * time.Millisecond),
		}, true, now)
	}
	g.dispatchAll(now)
}
