package mtgateway

import (
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mttenant"
)

const (
	// reasonUnauthorized is the refusal reason of a request without a known key.
	reasonUnauthorized = "unauthorized"
	// reasonUndecided is the refusal reason of a request whose key a configuration may have that is not known here yet.
	reasonUndecided = "undecided"
	// ageMargin is subtracted from the bound for the age of the feed, for delays that the instance does not see. With a
	// loaded processor, ages were up to 115 ms too low.
	ageMargin = 300 * time.Millisecond
	// newsDelay is how long a read of the feed takes, including the delay of the store's answer to a long poll.
	newsDelay = 300 * time.Millisecond
)

// authorization tells whose request it is.
type authorization struct {
	// isRequired is set if the configuration has tenants, here or at the instance that passed the request on. Otherwise the
	// headers of the caller that name a key or a tenant have no meaning, and are forwarded.
	isRequired bool
	// credential is the zero value if the request has no tenant.
	credential mttenant.Credential
	tenant     *mttenant.Tenant
	// tenantName is the name of the tenant that the endpoint is told. It is set without a tenant if only the instance that
	// passed the request on has the tenants.
	tenantName string
}

// authorize returns whose request it is, or the refusal of a request without a known key; origin is nil unless another
// instance has passed the request on. It removes the key from the request.
func (g *Gateway) authorize(
	call *mtingress.Call, route *mtroute.Route, table *mtroute.Table, origin *relayOrigin,
) (granted authorization, refusal *mtingress.Response) {
	if table.Tenants == nil && !origin.hasAuthorized() {
		return authorization{}, nil
	}
	credential := mttenant.NewCredential(g.headerCodec.TakeKeys(call.Request.Header))
	if origin.hasAuthorized() {
		credential = mttenant.NewRelayedCredential(origin.tenant, origin.keyDigest)
		granted.tenantName = origin.tenant
	}
	granted.isRequired = true
	decision := mttenant.Authorize(table.Tenants, credential, route.AllowAnonymous, g.configurationFeed, time.Now())
	switch decision.Verdict {
	case mttenant.Unauthorized:
		g.recordRejection(call, http.StatusUnauthorized, reasonUnauthorized, table)
		return authorization{}, newRefusalAnswer(http.StatusUnauthorized, reasonUnauthorized, 0)
	case mttenant.Undecided:
		g.recordRejection(call, http.StatusServiceUnavailable, reasonUndecided, table)
		return authorization{}, newRefusalAnswer(http.StatusServiceUnavailable, reasonUndecided, decision.RetryAfter)
	}
	if table.Tenants == nil {
		granted.credential = credential
		return granted, nil
	}
	granted.tenant = decision.Tenant
	granted.tenantName = tenantName(decision.Tenant)
	if decision.Tenant != nil {
		granted.credential = credential
	}
	return granted, nil
}

// tenantName returns the name of a tenant, which may be nil.
func tenantName(tenant *mttenant.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// configurationFeed returns what is known about news of the configuration.
func (g *Gateway) configurationFeed(now time.Time) mttenant.Feed {
	bound := g.settings().ConfigurationWithin
	g.feeds.mu.Lock()
	follower := g.feeds.byNumber[mtreplication.ConfigurationFeed].follower
	// The monotonic clock may stop while the machine is suspended, so the age on the wall clock counts as well.
	age := max(follower.Age(now), follower.Age(now.Round(0)))
	expectedAt := follower.NextReadAt(g.currentStoreRole())
	g.feeds.mu.Unlock()
	if expectedAt.Before(now) {
		expectedAt = now
	}
	return mttenant.Feed{
		Age:        age,
		Bound:      bound - min(ageMargin, bound/2),
		IsBehind:   g.isBehind(bound, now) || g.pauseWatch.wasPaused(now),
		ExpectedAt: expectedAt.Add(newsDelay),
	}
}

// recheckAuthorization returns the refusal of a request that may no longer run because another configuration has come into
// force since it arrived, or nil. Keys may be revoked while a request waits.
func (a *activeRequest) recheckAuthorization(now time.Time) *mtscheduler.Rejection {
	table := a.gateway.routeTable.Load()
	if table == nil || table == a.table || table.Tenants == nil {
		return nil
	}
	undecided := &mtscheduler.Rejection{
		Reason:     reasonUndecided,
		RetryAfter: minRetryDelay,
	}
	if !a.authorization.isRequired {
		// The header of the request may have a key.
		return undecided
	}
	route := table.Find(a.call.Request.Host, a.call.Request.RequestURI)
	if route == nil {
		route = a.route
	}
	decision := mttenant.Authorize(table.Tenants, a.authorization.credential, route.AllowAnonymous, a.gateway.configurationFeed, now)
	switch decision.Verdict {
	case mttenant.Unauthorized:
		return &mtscheduler.Rejection{
			Reason: reasonUnauthorized,
		}
	case mttenant.Undecided:
		undecided.RetryAfter = decision.RetryAfter
		return undecided
	}
	if tenantName(decision.Tenant) != a.authorization.tenantName {
		return undecided
	}
	return nil
}

// setShare sets by whose share of the service a request is placed; table is the configuration that it arrived under.
func (a authorization) setShare(request *mtscheduler.Request, table *mtroute.Table) {
	if a.tenant == nil {
		request.TenantWeight = table.Tenants.MeanWeight()
		return
	}
	request.Tenant = a.tenant.Name
	request.TenantWeight = a.tenant.Weight()
	if a.tenant.HasPriority {
		request.TenantPriority = a.tenant.Priority
	}
}

// setTenantHeader tells the recipient of a request its tenant, whatever the caller has sent.
func (a authorization) setTenantHeader(codec HeaderCodec, header http.Header) {
	if a.isRequired {
		codec.SetTenant(header, a.tenantName)
	}
}

// setRelayHeader tells a helper what it needs to know about the tenant of a request.
func (a authorization) setRelayHeader(header http.Header) {
	if !a.isRequired {
		return
	}
	header.Set(relayChargedHeader, "1")
	if a.tenantName != "" {
		header.Set(relayTenantHeader, a.tenantName)
	}
	if digest := a.credential.Digest(); digest != "" {
		header.Set(relayKeyDigestHeader, digest)
	}
}
