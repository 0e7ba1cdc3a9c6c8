// The load pattern: callers are spread over a few instances and move between them; a tenant that exceeds its quota sends
// several times its usual demand for some seconds. A request is decided by the instance that it reaches:
//
//	lease valid             -> tokens accrue at share x rate, up to share x burst + extra depth
//	lease over              -> for unleasedTime, tokens accrue with a small share from the excess
//	share rises             -> no tokens; they accrue faster from now on
//	share or limit falls    -> tokens are clipped
//
// No event grants tokens, except the first use of a tenant, which starts with half of the extra depth.

package mtquota

import (
	"math"
	"time"
)

const (
	// holderLeaseTime is how long a lease lasts at its holder, from when it sent the report that was granted.
	holderLeaseTime = 2300 * time.Millisecond
	// unleasedTime is how long requests run with a small share after a lease has ended.
	unleasedTime = 10 * time.Second
	// minDemandTime and maxDemandTime bound the time constant of the estimate of demand, which is about the time of
	// demandRequests at the limit: with fewer, the estimate of a holder is mostly noise.
	minDemandTime  = 300 * time.Millisecond
	maxDemandTime  = 3 * time.Second
	demandRequests = 100
	// minInterest and maxInterest bound how long a tenant is reported after its last request: about the time of
	// interestRequests at the limit, because a holder without a lease has tokens for one request only. While tokens are
	// missing, that time is refillInterest.
	minInterest      = time.Second
	maxInterest      = 5 * time.Second
	refillInterest   = 10 * time.Second
	interestRequests = 50
	// reportInterval is the time between two reports. After patientReports of them without an answer it doubles, up to
	// maxReportInterval, because a grant that raises the share must arrive before the next report.
	reportInterval    = 200 * time.Millisecond
	maxReportInterval = 800 * time.Millisecond
	// slowReportInterval is the time between two reports of a tenant with a limit below slowReportRate that has
	// refused nothing within that time. 84
	// tenants at reportInterval would take 15 KB/s.
	slowReportInterval = 800 * time.Millisecond
	slowReportRate     = 50
	// smallRate is the limit below which a tenant is small: each of eight holders would have few tokens, and rarely the one that
	// needs them.
	smallRate = 20
	// askPause is the time after the owner had no token until a small tenant's requests ask again.
	askPause       = 300 * time.Millisecond
	patientReports = 2
	// fastReports is the number of reports that follow each other at reportInterval also where later ones are rare: shares move
	// most after the first requests of a tenant.
	fastReports = 8
	// maxRememberedReports is the number of reports whose grants are accepted.
	maxRememberedReports = 16
	// minRetryDelay and maxRetryDelay bound the time that refused callers are given.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Minute
	// maxBacklogDelay bounds the part of that time which spreads the callers refused in the last second.
	maxBacklogDelay = 3 * time.Second
)

// Report states the demand of a tenant at one holder and the share that it holds.
type Report struct {
	Number uint32
	// Share is from 0 to 1, and Left is how much longer the lease lasts.
	Share float64
	Left  time.Duration
	// Demand is in requests per second, refused ones included.
	Demand float64
	// Wanted is the number of requests that wait for a token of the owner.
	Wanted int
}

// Grant leases a share to the holder whose report has the same number.
type Grant struct {
	Number uint32
	Share  float64
	// Tokens is the number of tokens that the owner has taken from what is not leased: those that the report asked for, and
	// those that belong to a share that rises.
	Tokens int
}

// Terms are the limit of a tenant and the place of an instance in the fleet.
type Terms struct {
	Limit  Limit
	Bounds Bounds
	// Holders is the number of instances that are likely to get requests, over the whole fleet.
	Holders float64
	// IsLikelyHolder is set if this instance is one of them; others have no extra depth.
	IsLikelyHolder bool
}

// Holder admits the requests of one tenant at one instance. It is not safe for concurrent use.
type Holder struct {
	terms Terms
	// leasedRate is the rate of all leases together.
	leasedRate float64
	// share is the share of the last lease, which started at leasedAt.
	share    float64
	leasedAt time.Time
	// tokens is the number of requests that may run at refilledAt.
	tokens     float64
	refilledAt time.Time
	// recent is the number of requests in about the time constant of demand, at recentAt.
	recent   float64
	recentAt time.Time
	// lastRequest is when the last request arrived.
	lastRequest time.Time
	// lastRefusal is when a request last found no token.
	lastRefusal time.Time
	lastNumber  uint32
	// askAfter is when requests may ask the owner for a token again.
	askAfter time.Time
	// reports are the numbers and times of the latest reports, the newest last.
	reports []sentReport
	// unanswered is the number of reports since the last grant.
	unanswered int
}

type sentReport struct {
	number uint32
	at     time.Time
	// wanted is the number of tokens that the report asked for and that no grant has given yet.
	wanted int
	// isApplied is set once a grant for the report has been applied.
	isApplied bool
}

// NewHolder returns a holder without a lease.
func NewHolder(terms Terms, now time.Time) *Holder {
	h := &Holder{
		terms:      terms,
		leasedRate: terms.Bounds.leasedRate(terms.Limit),
		refilledAt: now,
		recentAt:   now,
	}
	depth := h.extraDepth()
	h.tokens = min(depth, max(1, depth/2))
	return h
}

// SetTerms changes the limit or the place in the fleet.
func (h *Holder) SetTerms(terms Terms, now time.Time) {
	if terms == h.terms {
		return
	}
	h.refill(now)
	h.terms = terms
	h.leasedRate = terms.Bounds.leasedRate(terms.Limit)
	h.clip(now)
}

// Limit returns the limit in force.
func (h *Holder) Limit() Limit {
	return h.terms.Limit
}

func (h *Holder) extraDepth() float64 {
	if !h.terms.IsLikelyHolder {
		return 0
	}
	return h.terms.Bounds.extraDepth(h.terms.Limit, h.terms.Holders)
}

// HasLease reports whether the holder has a lease.
func (h *Holder) HasLease(now time.Time) bool {
	return !h.leasedAt.IsZero() && age(h.leasedAt, now) < holderLeaseTime
}

// Share returns the share in use.
func (h *Holder) Share(now time.Time) float64 {
	switch {
	case h.leasedAt.IsZero():
		return 0
	case h.HasLease(now):
		return h.share
	case age(h.leasedAt, now) < holderLeaseTime+unleasedTime:
		return h.unleasedShare()
	}
	return 0
}

// unleasedShare returns the share after the lease has ended.
func (h *Holder) unleasedShare() float64 {
	return min(h.share/2, h.terms.Bounds.unleasedShare(h.terms.Limit)/max(1, h.terms.Holders))
}

// depth returns the most tokens that may be saved.
func (h *Holder) depth(share float64) float64 {
	depth := share*h.terms.Limit.savedBurst() + h.extraDepth()
	if share > 0 {
		// With less than one token no request would ever run.
		return max(1, depth)
	}
	return depth
}

// refill adds the tokens that have accrued since the last refill.
func (h *Holder) refill(now time.Time) {
	if !now.After(h.refilledAt) {
		return
	}
	if !h.leasedAt.IsZero() {
		leaseEnd := h.leasedAt.Add(holderLeaseTime)
		h.accrue(h.share, earlier(now, leaseEnd))
		h.accrue(h.unleasedShare(), earlier(now, leaseEnd.Add(unleasedTime)))
	}
	h.refilledAt = now
	h.clip(now)
}

// accrue adds the tokens of a share until a time.
func (h *Holder) accrue(share float64, until time.Time) {
	if elapsed := until.Sub(h.refilledAt); elapsed > 0 {
		h.tokens = min(h.depth(share), h.tokens+share*h.leasedRate*elapsed.Seconds())
		h.refilledAt = until
	}
}

func (h *Holder) clip(now time.Time) {
	h.tokens = min(h.tokens, h.depth(h.Share(now)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// RecordRequest records that a request has arrived, whether it is admitted or not.
func (h *Holder) RecordRequest(now time.Time) {
	h.decayRecent(now)
	h.recent++
	h.lastRequest = now
}

func (h *Holder) decayRecent(now time.Time) {
	if elapsed := now.Sub(h.recentAt); elapsed > 0 {
		h.recent *= math.Exp(-elapsed.Seconds() / h.demandTime())
		h.recentAt = now
	}
}

// demandTime returns the time constant of the estimate of demand in seconds.
func (h *Holder) demandTime() float64 {
	return min(maxDemandTime.Seconds(), max(minDemandTime.Seconds(), demandRequests/max(1, h.terms.Limit.Rate)))
}

// Take admits a request if there is a token for it.
func (h *Holder) Take(now time.Time) bool {
	h.refill(now)
	if h.tokens < 1 {
		h.lastRefusal = now
		return false
	}
	h.tokens--
	return true
}

// Demand returns the requests per second, refused ones included.
func (h *Holder) Demand(now time.Time) float64 {
	h.decayRecent(now)
	return h.recent / h.demandTime()
}

// RetryAfter returns the time until a refused request may run. A random number from 0 to 1 spreads the callers that are
// refused together over the time in which the credit for all of them accrues.
func (h *Holder) RetryAfter(random float64, now time.Time) time.Duration {
	h.refill(now)
	rate := h.leasedRate * h.Share(now)
	if rate <= 0 {
		// The next grant is expected to give an even share.
		rate = h.terms.Limit.Rate / max(1, h.terms.Holders)
	}
	if rate <= 0 {
		return maxRetryDelay
	}
	missing := max(0, 1-h.tokens) / rate
	backlog := min(maxBacklogDelay.Seconds(), max(0, h.Demand(now)/rate-1)*h.demandTime())
	delay := min(maxRetryDelay.Seconds(), missing+random*max(missing, backlog))
	return max(minRetryDelay, time.Duration(delay*float64(time.Second)))
}

// ShouldReport reports whether the owner should get a report of the tenant.
func (h *Holder) ShouldReport(now time.Time) bool {
	if h.lastRequest.IsZero() {
		return false
	}
	idle := now.Sub(h.lastRequest)
	interest := time.Duration(interestRequests / max(1, h.terms.Limit.Rate) * float64(time.Second))
	if idle < min(maxInterest, max(minInterest, interest)) {
		return true
	}
	h.refill(now)
	return idle < refillInterest && h.tokens < h.extraDepth()
}

// IsIdle reports whether the holder may be discarded: a new one would have no more tokens.
func (h *Holder) IsIdle(now time.Time) bool {
	if h.ShouldReport(now) || h.Share(now) > 0 {
		return false
	}
	h.refill(now)
	depth := h.extraDepth()
	return h.tokens >= min(depth, max(1, depth/2))
}

// ExpectsGrant reports whether the owner is likely to answer soon.
func (h *Holder) ExpectsGrant() bool {
	return h.unanswered <= patientReports
}

// ReportsSlowly reports whether the tenant is reported every slowReportInterval only.
func (h *Holder) ReportsSlowly() bool {
	return h.unanswered == 0 && len(h.reports) >= fastReports && h.terms.Limit.Rate < slowReportRate &&
		h.reports[len(h.reports)-1].at.Sub(h.lastRefusal) > slowReportInterval
}

// NextReport returns when the next report is due; the zero time means at once.
func (h *Holder) NextReport() time.Time {
	if len(h.reports) == 0 {
		return time.Time{}
	}
	last := h.reports[len(h.reports)-1].at
	if h.ReportsSlowly() {
		return last.Add(slowReportInterval)
	}
	interval := reportInterval
	for unanswered := h.unanswered; unanswered >= patientReports && interval < maxReportInterval; unanswered-- {
		interval *= 2
	}
	return last.Add(interval)
}

// Report returns the next report, with a number that this holder has not used; older grants can't raise the share any more.
// The owner is asked for a number of tokens.
func (h *Holder) Report(number uint32, wanted int, now time.Time) Report {
	h.refill(now)
	h.lastNumber = number
	h.unanswered++
	if len(h.reports) == maxRememberedReports {
		h.reports = append(h.reports[:0], h.reports[1:]...)
	}
	h.reports = append(h.reports, sentReport{
		number: h.lastNumber,
		at:     now,
		wanted: wanted,
	})
	report := Report{
		Number: h.lastNumber,
		Demand: h.Demand(now),
		Wanted: wanted,
	}
	if h.HasLease(now) {
		report.Share = h.share
		report.Left = holderLeaseTime - age(h.leasedAt, now)
	}
	return report
}

// MayAsk reports whether a request without a token may ask the owner for one: callers are spread unevenly over the holders and
// move between them, and a holder that starts has few tokens.
func (h *Holder) MayAsk(now time.Time) bool {
	return h.ExpectsGrant() && !now.Before(h.askAfter)
}

// RecordInterest records that another holder uses the tenant, whose requests may ask this one for tokens.
func (h *Holder) RecordInterest(now time.Time) {
	h.lastRequest = now
}

// Apply applies a grant and reports whether the holder has a lease now.
func (h *Holder) Apply(grant Grant, now time.Time) bool {
	sent := h.findReport(grant.Number)
	if sent == nil || age(sent.at, now) >= holderLeaseTime || math.IsNaN(grant.Share) {
		return h.HasLease(now)
	}
	h.refill(now)
	share := min(1, max(0, grant.Share))
	hasLease := h.HasLease(now)
	if grant.Number != h.lastNumber {
		// The owner may have counted with a newer report.
		held := 0.0
		if hasLease {
			held = h.share
		}
		share = min(share, held)
	}
	h.unanswered = 0
	asked := max(0, min(grant.Tokens, sent.wanted))
	if grant.Number == h.lastNumber && !sent.isApplied {
		h.tokens += float64(max(0, grant.Tokens-asked))
	}
	sent.isApplied = true
	if share > 0 || hasLease {
		hasLease = true
		h.share = share
		if sent.at.After(h.leasedAt) {
			h.leasedAt = sent.at
		}
		h.clip(now)
	}
	if sent.wanted > 0 && grant.Tokens == 0 {
		h.askAfter = now.Add(askPause)
	}
	h.tokens += float64(asked)
	sent.wanted = 0
	return hasLease
}

func (h *Holder) findReport(number uint32) *sentReport {
	for i := range h.reports {
		if h.reports[i].number == number {
			return &h.reports[i]
		}
	}
	return nil
}

// Tokens returns the number of requests that may run now.
func (h *Holder) Tokens(now time.Time) float64 {
	h.refill(now)
	return h.tokens
}
