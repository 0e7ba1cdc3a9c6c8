package mtgateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/core/mtquota"
	"github.com/mangotack/mangotack/internal/core/mtquotaview"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	"github.com/mangotack/mangotack/internal/core/mttenant"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtquotas"
)

const (
	// reasonQuota is the refusal reason of a request beyond the quota of its tenant.
	reasonQuota = "quota"
	// quotaAliveTimeout is the silence after which an instance owns no quotas, and an owner counts as not reached. Other instances
	// count as reached for quotaReachTimeout: in large fleets, their heartbeats arrive through others.
	quotaAliveTimeout = 1300 * time.Millisecond
	quotaReachTimeout = 2 * time.Second
)

// chargeQuota charges a request to the quota of its tenant, or returns the refusal of a request beyond it; origin is nil
// unless another instance has passed the request on.
func (g *Gateway) chargeQuota(
	ctx context.Context, call *mtingress.Call, tenant *mttenant.Tenant, origin *relayOrigin,
) (refusal *mtingress.Response) {
	if tenant == nil || !tenant.IsLimited() || origin != nil && origin.isCharged {
		return nil
	}
	allowed, retryAfter := g.takeQuota(ctx, tenant.Name)
	if allowed {
		return nil
	}
	g.recordQuotaRefusal(call, tenant, retryAfter)
	return newRefusalAnswer(http.StatusTooManyRequests, reasonQuota, retryAfter)
}

// recordQuotaRefusal counts and logs a request beyond the quota of its tenant.
func (g *Gateway) recordQuotaRefusal(call *mtingress.Call, tenant *mttenant.Tenant, retryAfter time.Duration) {
	g.metrics.countRequest("", reasonQuota, 0)
	g.metrics.countTenantRequest(tenant, reasonQuota)
	if g.quotas.RecordRefusal(tenant.Name, time.Now()) {
		mtevent.QuotaExceeded.Log(g.logger, logrus.Fields{
			"tenant": tenant.Name,
			"rate":   tenant.RatePerSecond,
			"burst":  tenant.Burst,
		})
	}
	if !g.requestLog.allow(importanceFailure, call.ArrivedAt) {
		return
	}
	id, _ := g.headerCodec.ParseRequestHeader(call.Request.Header)
	g.requestLog.write(mtevent.CallRefused, logrus.Fields{
		"id":     id,
		"status": http.StatusTooManyRequests,
		"reason": reasonQuota,
		"tenant": tenant.Name,
		"after":  retryAfter.Milliseconds(),
		"mayrun": false,
	})
}

// takeQuota charges a request, or returns when the next one may be allowed. The first request of a tenant waits for the grant of
// its owner, and then for the credit if that accrues in time.
func (g *Gateway) takeQuota(ctx context.Context, tenant string) (allowed bool, retryAfter time.Duration) {
	allowed, retryAfter, granted := g.quotas.Take(tenant, time.Now())
	if allowed || granted == nil {
		return allowed, retryAfter
	}
	deadline := time.Now().Add(mtquotas.GrantWait)
	if awaitGrant(ctx, granted, mtquotas.GrantWait) {
		allowed, retryAfter = g.quotas.TakeAgain(tenant, time.Now())
		if allowed || time.Now().Add(retryAfter).After(deadline) {
			return allowed, retryAfter
		}
		awaitGrant(ctx, nil, retryAfter)
	}
	return g.quotas.TakeAgain(tenant, time.Now())
}

// awaitGrant waits until a channel is closed, and reports whether that was so before a time had passed and the context ended.
func awaitGrant(ctx context.Context, closed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// quotaBounds returns the bounds of quotas in the settings.
func quotaBounds(settings *Settings) mtquota.Bounds {
	return mtquota.Bounds(settings.Quota)
}

// applyQuotaLimits brings the limits of a configuration into force.
func (g *Gateway) applyQuotaLimits(table *mtroute.Table, now time.Time) {
	limits := map[string]mtquota.Limit{}
	if table.Tenants != nil {
		for name, tenant := range table.Tenants.All() {
			if tenant.IsLimited() {
				limits[name] = mtquota.Limit{
					Rate:  tenant.RatePerSecond,
					Burst: tenant.Burst,
				}
			}
		}
	}
	g.quotas.SetLimits(limits, now)
}

// updateQuotaFleet tells the quotas what this instance knows of the others.
func (g *Gateway) updateQuotaFleet(receivers int, isReceiver bool, owners []mtsteering.Candidate, now time.Time) {
	fleet := mtquotaview.Fleet{
		Unheard:    g.mesh.CountUnheardSeeds(),
		Receivers:  receivers,
		IsReceiver: isReceiver,
	}
	for _, owner := range owners {
		fleet.Preferred = append(fleet.Preferred, owner.Name)
	}
	var tiers []int
	highest := 0
	for _, instance := range g.mesh.KnownInstances(now) {
		row := instance.Row
		isSelf := row.GetInstance() == g.settings().Instance
		isLeaving := row.GetLeaving() || isSelf && g.leaving.Load()
		if isLeaving && !isSelf {
			continue
		}
		silence := instance.SinceHeartbeat
		if isSelf {
			silence = 0
		}
		fleet.Members = append(fleet.Members, mtquotaview.Member{
			Name:        row.GetInstance(),
			StartedAt:   time.UnixMilli(int64(row.GetEpoch())),
			IsAlive:     silence <= quotaAliveTimeout && !isLeaving,
			IsReachable: silence <= quotaReachTimeout,
		})
		tier := mtsteering.NominalTier(mtsteering.Candidate{
			Cores:    float64(row.GetCapacity()),
			LinkMbps: float64(row.GetLink()),
		})
		tiers = append(tiers, tier)
		highest = max(highest, tier)
	}
	for i, tier := range tiers {
		member := &fleet.Members[i]
		member.IsTop = tier == highest
		// Owners send their rows to all, so their silence is noticed sooner.
		if slices.Contains(fleet.Preferred, member.Name) {
			member.IsReachable = member.IsAlive
		}
	}
	before, _ := g.quotas.Owners()
	g.quotas.UpdateFleet(fleet, now)
	after, part := g.quotas.Owners()
	if g.quotas.IsActive() && !slices.Equal(before, after) {
		mtevent.QuotaOwnersChanged.Log(g.logger, logrus.Fields{
			"owners": after,
			"part":   part,
		})
	}
}

// quotaUse adds up the use of the quotas of all tenants with the same label.
type quotaUse struct {
	share, rate, demand, leased float64
	owned, holders              int
}

// writeQuotaMetrics writes the use of quotas, which changes without any event.
func (g *Gateway) writeQuotaMetrics(writer io.Writer, now time.Time) {
	table := g.routeTable.Load()
	if table == nil || table.Tenants == nil {
		return
	}
	byLabel := map[string]*quotaUse{}
	leases := 0
	for _, usage := range g.quotas.Usage(now) {
		tenant := table.Tenants.FindByName(usage.Tenant)
		if tenant == nil {
			continue
		}
		use := byLabel[tenant.Label()]
		if use == nil {
			use = &quotaUse{}
			byLabel[tenant.Label()] = use
		}
		use.share += usage.Share
		if usage.Share > 0 {
			leases++
		}
		if usage.IsOwned {
			use.owned++
			use.holders += usage.Holders
			use.rate += usage.Rate
			use.demand += usage.Demand
			use.leased += usage.Leased
		}
	}
	// A write fails when the reader of the metrics has left.
	_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_leases %d\n", leases)
	for _, label := range slices.Sorted(maps.Keys(byLabel)) {
		use := byLabel[label]
		_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_share{tenant=%q} %g\n", label, use.share)
		if use.owned == 0 {
			continue
		}
		_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_limit{tenant=%q} %g\n", label, use.rate)
		_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_demand{tenant=%q} %g\n", label, use.demand)
		_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_leased{tenant=%q} %g\n", label, use.leased)
		_, _ = fmt.Fprintf(writer, "mangotack_gateway_quota_holders{tenant=%q} %d\n", label, use.holders)
	}
}

// HandleQuota handles reports and grants of quotas from another instance.
func (g *Gateway) HandleQuota(quota *peerv1.Quota, now time.Time) {
	g.quotas.Handle(quota, now)
}
