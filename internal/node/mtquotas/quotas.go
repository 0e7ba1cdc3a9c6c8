// Lock order: Quotas.mu is a leaf; messages are sent without it.

package mtquotas

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtquota"
	"github.com/mangotack/mangotack/internal/core/mtquotaview"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// TickInterval is the time between two rounds of reports.
	TickInterval = 200 * time.Millisecond
	// GrantWait is how long a request waits for the first grant of its tenant.
	GrantWait = 50 * time.Millisecond
	// dueMargin makes reports of one round go into one datagram although rounds are not exactly TickInterval apart.
	dueMargin = TickInterval / 2
	// slowRounds is the number of rounds between two in which tenants are reported that report rarely.
	slowRounds = 4
	// refusalNewsTime is the time in which further refusals of a tenant are no news.
	refusalNewsTime = time.Minute
	// maxReportsPerMessage bounds a datagram to some 6 KB; a report takes some 27 bytes.
	maxReportsPerMessage = 200
	// maxTokensPerGrant bounds what a message may state; the holder keeps no more than its share of the burst.
	maxTokensPerGrant = 1 << 20
	// shareScale is the number of steps from 0 to 1 in messages.
	shareScale = 1e6
)

// sender sends messages to other instances.
type sender interface {
	SendQuota(instance string, quota *peerv1.Quota)
}

// Quotas are the quotas of one instance; it is safe for concurrent use.
type Quotas struct {
	instance    string
	incarnation uint64
	sender      sender
	random      *rand.Rand
	// wake is signalled when the first tenant has a limit.
	wake chan struct{}

	mu      sync.Mutex
	bounds  mtquota.Bounds
	tenants *tenantNumbers
	view    *mtquotaview.View
	holders map[string]*heldQuota
	ledgers map[string]*mtquota.Ledger
	// ownersSince is when the owners or the limits last changed.
	ownersSince time.Time
	// rounds is the number of rounds of reports.
	rounds int
	// lastNumber is the number of the latest report, over all tenants.
	lastNumber uint32
}

// heldQuota is the holder of one tenant, with the requests that wait for its grant.
type heldQuota struct {
	holder *mtquota.Holder
	// owner is the instance that got the latest report; another one gets the next report at once, before the lease ends.
	owner string
	// granted is closed with the next grant, or nil if no request waits.
	granted chan struct{}
	// refusalNotedAt is when RecordRefusal last returned true.
	refusalNotedAt time.Time
}

// Option changes how quotas work.
type Option func(*Quotas)

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option {
	return func(q *Quotas) {
		q.random = random
	}
}

// NewQuotas returns the quotas of an instance that has just started; it does nothing until a tenant has a limit.
func NewQuotas(instance string, bounds mtquota.Bounds, sender sender, now time.Time, options ...Option) *Quotas {
	q := &Quotas{
		instance: instance,
		sender:   sender,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		wake:     make(chan struct{}, 1),
		bounds:   bounds,
		tenants:  newTenantNumbers(nil),
		view:     mtquotaview.NewView(instance, now),
		holders:  map[string]*heldQuota{},
		ledgers:  map[string]*mtquota.Ledger{},

		ownersSince: now,
	}
	for _, option := range options {
		option(q)
	}
	q.incarnation = max(1, q.random.Uint64())
	q.lastNumber = q.random.Uint32()
	return q
}

// SetLimits brings the limits of a configuration into force, by the name of the tenant.
func (q *Quotas) SetLimits(limits map[string]mtquota.Limit, now time.Time) {
	tenants := newTenantNumbers(limits)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tenants = tenants
	for name, held := range q.holders {
		if limit, isLimited := limits[name]; isLimited {
			held.holder.SetTerms(q.view.Terms(limit, q.bounds, now), now)
		}
	}
	if len(limits) > 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// SetBounds brings new bounds into force.
func (q *Quotas) SetBounds(bounds mtquota.Bounds, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bounds = bounds
	q.updateTerms(now)
}

// UpdateFleet records what the instance knows of the fleet.
func (q *Quotas) UpdateFleet(fleet mtquotaview.Fleet, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	before, partBefore := q.view.Owners()
	q.view.Update(fleet, now)
	if after, part := q.view.Owners(); part > partBefore || !slices.Equal(before, after) {
		q.ownersSince = now
	}
	q.updateTerms(now)
}

// updateTerms applies the view and the bounds to all holders; the caller holds mu.
func (q *Quotas) updateTerms(now time.Time) {
	for _, held := range q.holders {
		held.holder.SetTerms(q.view.Terms(held.holder.Limit(), q.bounds, now), now)
	}
}

// IsActive reports whether any tenant has a limit.
func (q *Quotas) IsActive() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.tenants.byName) > 0
}

// Take charges a request to the quota of a tenant. If it isn't allowed and wait is not nil, a grant is on the way: the caller
// may wait for it up to GrantWait and then call TakeAgain.
func (q *Quotas) Take(tenant string, now time.Time) (allowed bool, retryAfter time.Duration, wait <-chan struct{}) {
	q.mu.Lock()
	number, isLimited := q.tenants.byName[tenant]
	if !isLimited {
		q.mu.Unlock()
		return true, 0, nil
	}
	held := q.heldQuota(tenant, q.tenants.byNumber[number].limit, now)
	held.holder.RecordRequest(now)
	if held.holder.Take(now) {
		q.mu.Unlock()
		return true, 0, nil
	}
	var messages []outgoing
	isOwner := q.view.Owner(tenant) == q.instance
	if isOwner && q.takeSpare(tenant, now) {
		q.mu.Unlock()
		return true, 0, nil
	}
	asks := !isOwner && held.holder.MayAsk(now)
	if asks || !held.holder.HasLease(now) {
		if asks || !held.holder.NextReport().After(now) {
			messages = q.report([]string{tenant}, countAsks(asks), now)
		}
		if asks || !isOwner && held.holder.ExpectsGrant() && !held.holder.HasLease(now) {
			if held.granted == nil {
				held.granted = make(chan struct{})
			}
			wait := held.granted
			retryAfter := held.holder.RetryAfter(q.random.Float64(), now)
			q.mu.Unlock()
			q.send(messages)
			return false, retryAfter, wait
		}
	}
	retryAfter = held.holder.RetryAfter(q.random.Float64(), now)
	q.mu.Unlock()
	q.send(messages)
	return false, retryAfter, nil
}

// takeSpare takes a token of what is not leased of a tenant that this instance owns; the caller holds mu.
func (q *Quotas) takeSpare(tenant string, now time.Time) bool {
	if q.ledgers[tenant] == nil {
		q.report([]string{tenant}, 0, now)
	}
	ledger := q.ledgers[tenant]
	if ledger == nil {
		return false
	}
	limit := q.tenants.byNumber[q.tenants.byName[tenant]].limit
	return ledger.TakeSpare(limit, q.view.Capacity(tenant, limit, q.bounds, now), now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// countAsks returns the number of tokens that a report asks for.
func countAsks(asks bool) int {
	if asks {
		return 1
	}
	return 0
}

// TakeAgain charges a request that Take has not allowed.
func (q *Quotas) TakeAgain(tenant string, now time.Time) (allowed bool, retryAfter time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	held := q.holders[tenant]
	_, isLimited := q.tenants.byName[tenant]
	if !isLimited || held == nil || held.holder.Take(now) {
		return true, 0
	}
	return false, held.holder.RetryAfter(q.random.Float64(), now)
}

// RecordRefusal records that a request was refused, and reports whether that is news: the first one in refusalNewsTime.
func (q *Quotas) RecordRefusal(tenant string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	held := q.holders[tenant]
	if held == nil || !held.refusalNotedAt.IsZero() && now.Sub(held.refusalNotedAt) < refusalNewsTime {
		return false
	}
	held.refusalNotedAt = now
	return true
}

// heldQuota returns the holder of a tenant; the caller holds mu.
func (q *Quotas) heldQuota(tenant string, limit mtquota.Limit, now time.Time) *heldQuota {
	held := q.holders[tenant]
	if held == nil {
		held = &heldQuota{
			holder: mtquota.NewHolder(q.view.Terms(limit, q.bounds, now), now),
		}
		q.holders[tenant] = held
	}
	return held
}

// outgoing is a message to another instance.
type outgoing struct {
	instance string
	quota    *peerv1.Quota
}

func (q *Quotas) send(messages []outgoing) {
	for _, message := range messages {
		q.sender.SendQuota(message.instance, message.quota)
	}
}

// report reports tenants to their owners; the caller holds mu and sends the messages. If this instance is the owner, the
// report takes effect at once.
func (q *Quotas) report(tenants []string, wanted int, now time.Time) []outgoing {
	byOwner := map[string]*peerv1.Quota{}
	var messages []outgoing
	for _, tenant := range tenants {
		q.lastNumber++
		owner := q.view.Owner(tenant)
		held := q.holders[tenant]
		held.owner = owner
		report := held.holder.Report(q.lastNumber, wanted, now)
		if owner == q.instance {
			if grant, ok := q.lease(tenant, owner, q.incarnation, report, now); ok {
				q.apply(tenant, grant, now)
			}
			continue
		}
		quota := byOwner[owner]
		if quota == nil || len(quota.GetReports()) >= maxReportsPerMessage {
			quota = &peerv1.Quota{
				Instance:    q.instance,
				Incarnation: q.incarnation,
			}
			byOwner[owner] = quota
			messages = append(messages, outgoing{
				instance: owner,
				quota:    quota,
			})
		}
		quota.Reports = append(quota.Reports, &peerv1.QuotaReport{
			Tenant: q.tenants.byName[tenant],
			Demand: float32(report.Demand),
			Share:  uint32(math.Round(report.Share * shareScale)),
			Left:   uint32(report.Left.Milliseconds()),
			Number: report.Number,
			Wanted: uint32(report.Wanted),
		})
	}
	return messages
}

// lease answers a report of a tenant that this instance owns; the caller holds mu.
func (q *Quotas) lease(
	tenant, holder string, incarnation uint64, report mtquota.Report, now time.Time,
) (grant mtquota.Grant, ok bool) {
	if q.view.Owner(tenant) != q.instance {
		return mtquota.Grant{}, false
	}
	ledger := q.ledgers[tenant]
	if ledger == nil {
		ledger = mtquota.NewLedger(q.instance, earlier(now, q.ownersSince.Add(mtquota.SettleTime)))
		q.ledgers[tenant] = ledger
	}
	limit := q.tenants.byNumber[q.tenants.byName[tenant]].limit
	capacity := q.view.Capacity(tenant, limit, q.bounds, now)
	grant, ok = ledger.Report(holder, incarnation, report, limit, capacity, now)
	if ok && holder != q.instance {
		own := q.heldQuota(tenant, limit, now)
		own.holder.RecordInterest(now)
		if report.Wanted > 0 && (ledger.TakeSpare(limit, capacity, now) || own.holder.Take(now)) {
			grant.Tokens++
		}
	}
	return grant, ok
}

// apply applies a grant; the caller holds mu.
func (q *Quotas) apply(tenant string, grant mtquota.Grant, now time.Time) {
	held := q.holders[tenant]
	if held == nil {
		return
	}
	held.holder.Apply(grant, now)
	if held.granted != nil {
		close(held.granted)
		held.granted = nil
	}
}

// Handle handles a message of another instance.
func (q *Quotas) Handle(quota *peerv1.Quota, now time.Time) {
	answer := &peerv1.Quota{
		Instance:    q.instance,
		Incarnation: q.incarnation,
	}
	q.mu.Lock()
	for _, report := range quota.GetReports() {
		tenant, known := q.tenants.byNumber[report.GetTenant()]
		if !known {
			continue
		}
		grant, ok := q.lease(tenant.name, quota.GetInstance(), quota.GetIncarnation(), mtquota.Report{
			Number: report.GetNumber(),
			Share:  float64(report.GetShare()) / shareScale,
			Left:   time.Duration(report.GetLeft()) * time.Millisecond,
			Demand: float64(report.GetDemand()),
			Wanted: int(min(report.GetWanted(), 1)),
		}, now)
		if ok {
			answer.Grants = append(answer.Grants, &peerv1.QuotaGrant{
				Tenant: report.GetTenant(),
				Share:  uint32(math.Round(grant.Share * shareScale)),
				Number: grant.Number,
				Tokens: uint32(grant.Tokens),
			})
		}
	}
	for _, grant := range quota.GetGrants() {
		if tenant, known := q.tenants.byNumber[grant.GetTenant()]; known {
			q.apply(tenant.name, mtquota.Grant{
				Number: grant.GetNumber(),
				Share:  float64(grant.GetShare()) / shareScale,
				Tokens: int(min(grant.GetTokens(), maxTokensPerGrant)),
			}, now)
		}
	}
	q.mu.Unlock()
	if len(answer.GetGrants()) > 0 {
		q.sender.SendQuota(quota.GetInstance(), answer)
	}
}

// Tick sends the reports that are due, and forgets what is no longer used.
func (q *Quotas) Tick(now time.Time) {
	q.mu.Lock()
	q.rounds++
	var due []string
	for tenant, held := range q.holders {
		_, isLimited := q.tenants.byName[tenant]
		switch {
		case isLimited && held.holder.ShouldReport(now):
			if held.owner != q.view.Owner(tenant) || q.isDue(held.holder, now) {
				due = append(due, tenant)
			}
		case held.granted == nil && held.holder.IsIdle(now):
			delete(q.holders, tenant)
		}
	}
	for tenant, ledger := range q.ledgers {
		limit := q.tenants.byNumber[q.tenants.byName[tenant]].limit
		if ledger.Holders(now) == 0 && ledger.IsSpareFull(limit, q.view.Capacity(tenant, limit, q.bounds, now), now) {
			delete(q.ledgers, tenant)
		}
	}
	slices.Sort(due)
	messages := q.report(due, 0, now)
	q.mu.Unlock()
	q.send(messages)
}

// isDue reports whether a tenant is reported in this round; the caller holds mu. Tenants that are reported rarely share one
// round, so that they share a datagram.
func (q *Quotas) isDue(holder *mtquota.Holder, now time.Time) bool {
	margin := dueMargin
	if holder.ReportsSlowly() {
		margin = -(slowRounds - 1) * TickInterval
		if q.rounds%slowRounds == 0 {
			margin = (slowRounds - 1) * TickInterval
		}
	}
	return !holder.NextReport().After(now.Add(margin))
}

// Run sends reports until the context ends; it sleeps while no tenant has a limit.
func (q *Quotas) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		q.runTicks(ctx)
	}
}

// runTicks sends reports while any tenant has a limit.
func (q *Quotas) runTicks(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for q.IsActive() {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			q.Tick(now)
		}
	}
}
