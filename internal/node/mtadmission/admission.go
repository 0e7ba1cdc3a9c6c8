package mtadmission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtbucket"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtshare"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// lease is how long the parts may be used after they were last adjusted. The others take them over after the same silence.
const lease = 3 * time.Second

// shareLimit bounds the limits that one instance announces.
const shareLimit = 32

// claimAfter is how long calls are counted before their number tells the demand.
const claimAfter = 100 * time.Millisecond

// idlePeriods is the number of periods without a call after which a limit is no longer announced.
const idlePeriods = 30

// Admission keeps this instance's part of each limit; it is safe for use by many goroutines.
type Admission struct {
	mu     sync.Mutex
	limits map[string]*limit
	others map[string][]mtshare.Announcement
	// adjusted is when the parts were last adjusted; zero before the first time.
	adjusted time.Time
}

type limit struct {
	bucket mtbucket.Bucket
	share  mtshare.Share
	bound  *recordv1.Limit
	idle   int
	// claimed is set when the share was raised since the last adjustment.
	claimed bool
}

// NewAdmission returns an admission that has seen no call.
func NewAdmission() *Admission {
	return &Admission{
		limits: map[string]*limit{},
		others: map[string][]mtshare.Announcement{},
	}
}

// Admit takes a call into the limits of its team and its customer, or returns how long to wait.
func (a *Admission) Admit(call *mtcall.Call, now time.Time) (wait time.Duration, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lapse(now)
	team := a.limit(call.Tenant(), call.Team.GetLimit(), now)
	customer := a.limit(call.Customer, call.Contract.GetLimit(), now)
	if wait, admitted = a.take(call.Tenant(), team, now); !admitted {
		return wait, false
	}
	if wait, admitted = a.take(call.Customer, customer, now); !admitted {
		team.bucket.Undo()
		return wait, false
	}
	return 0, true
}

// take admits a call by one limit; the first refusal after a while claims a larger part, once between two adjustments.
func (a *Admission) take(key string, found *limit, now time.Time) (time.Duration, bool) {
	wait, admitted := found.bucket.Take(now)
	elapsed := now.Sub(a.adjusted)
	if admitted || found.claimed || a.adjusted.IsZero() || elapsed < claimAfter {
		return wait, admitted
	}
	found.claimed = true
	found.share.Claim(found.bucket.Arrived()/elapsed.Seconds(), found.bound.GetRate(), a.others[key])
	found.apply(now)
	return wait, false
}

// Release ends an admitted call.
func (a *Admission) Release(call *mtcall.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range []string{call.Tenant(), call.Customer} {
		if found := a.limits[key]; found != nil {
			found.bucket.Release()
		}
	}
}

// lapse gives up all parts when the lease on them has run out, as after a pause of this instance.
func (a *Admission) lapse(now time.Time) {
	if a.adjusted.IsZero() || now.Sub(a.adjusted) <= lease {
		return
	}
	for _, found := range a.limits {
		found.share = mtshare.Share{}
		found.apply(now)
	}
	a.adjusted = now
}

func (a *Admission) limit(key string, bound *recordv1.Limit, now time.Time) *limit {
	found := a.limits[key]
	if found == nil {
		found = &limit{}
		found.share.Adjust(0, bound.GetRate(), a.others[key])
		a.limits[key] = found
	}
	found.idle = 0
	if found.bound != bound {
		found.bound = bound
		found.apply(now)
	}
	return found
}

func (l *limit) apply(now time.Time) {
	l.bucket.Limit(l.bound.GetRate(), float64(l.bound.GetConcurrency()), l.share.Part(), now)
}

// Adjust moves the parts towards the demand and returns what to announce; rows are those of the other live instances.
func (a *Admission) Adjust(rows []*peerv1.Row, period time.Duration, now time.Time) []*peerv1.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lapse(now)
	a.adjusted = now
	a.others = announcements(rows, a.limits)
	var shares []*peerv1.Share
	for key, found := range a.limits {
		found.idle++
		found.claimed = false
		if found.idle > idlePeriods && found.bucket.IsIdle() {
			delete(a.limits, key)
			continue
		}
		demand := found.bucket.Demand(period)
		part := found.share.Adjust(demand, found.bound.GetRate(), a.others[key])
		found.apply(now)
		shares = append(shares, &peerv1.Share{
			Key:    key,
			Demand: float32(demand),
			Part:   float32(part),
		})
	}
	return largest(shares)
}

// largest bounds what is announced; a limit that is left out counts as idle at the others.
func largest(shares []*peerv1.Share) []*peerv1.Share {
	slices.SortFunc(shares, func(a, b *peerv1.Share) int {
		if order := cmp.Compare(b.GetDemand(), a.GetDemand()); order != 0 {
			return order
		}
		return cmp.Compare(a.GetKey(), b.GetKey())
	})
	return shares[:min(len(shares), shareLimit)]
}

// announcements lists what the rows say per key; an instance that is silent on a key counts as idle.
func announcements(rows []*peerv1.Row, limits map[string]*limit) map[string][]mtshare.Announcement {
	others := map[string][]mtshare.Announcement{}
	for _, row := range rows {
		said := map[string]*peerv1.Share{}
		for _, share := range row.GetShares() {
			said[share.GetKey()] = share
		}
		for key := range limits {
			if said[key] == nil {
				said[key] = &peerv1.Share{}
			}
		}
		for key, share := range said {
			others[key] = append(others[key], mtshare.Announcement{
				Demand: float64(share.GetDemand()),
				Part:   float64(share.GetPart()),
			})
		}
	}
	return others
}
