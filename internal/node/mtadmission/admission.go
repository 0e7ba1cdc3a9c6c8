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

// shareLeaseTimeout is how long shares stay valid after the last adjustment. After the same silence of an instance the
// others take its shares over.
const shareLeaseTimeout = 3 * time.Second

// maxAnnouncedLimits is the largest number of limits that one instance announces.
const maxAnnouncedLimits = 32

// minDemandWindow is the shortest time over which a count of calls is a usable estimate of the demand.
const minDemandWindow = 100 * time.Millisecond

// maxIdlePeriods is the number of adjustment periods without a call after which a limit is dropped and no longer
// announced.
const maxIdlePeriods = 30

// Controller enforces this instance's share of each limit. It is safe for concurrent use.
type Controller struct {
	mu            sync.Mutex
	limits        map[string]*limitState
	announcements map[string][]mtshare.Announcement
	// lastAdjust is the time of the last adjustment of the shares; zero before the first one.
	lastAdjust time.Time
}

// limitState is the local state of one limit of a team or a customer.
type limitState struct {
	bucket        mtbucket.Bucket
	share         mtshare.Share
	contractLimit *recordv1.Limit
	idlePeriods   int
	// claimed is set when a claim for a larger share was made since the last adjustment.
	claimed bool
}

// NewController returns an Admission without limits; the limits are created when calls use them.
func NewController() *Controller {
	return &Controller{
		limits:        map[string]*limitState{},
		announcements: map[string][]mtshare.Announcement{},
	}
}

// Admit counts a call against the limits of its team and its customer. If a limit refuses the call, wait is the time
// before the next attempt.
func (a *Controller) Admit(call *mtcall.Call, now time.Time) (wait time.Duration, admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLease(now)
	teamLimit := a.limitFor(call.Tenant(), call.Team.GetLimit(), now)
	customerLimit := a.limitFor(call.Customer, call.Contract.GetLimit(), now)
	if wait, admitted = a.tryAdmit(call.Tenant(), teamLimit, now); !admitted {
		return wait, false
	}
	if wait, admitted = a.tryAdmit(call.Customer, customerLimit, now); !admitted {
		teamLimit.bucket.RevertAdmission()
		return wait, false
	}
	return 0, true
}

// tryAdmit counts a call against one limit. The first refusal that comes at least minDemandWindow after an adjustment
// claims a larger share, once between two adjustments.
func (a *Controller) tryAdmit(key string, state *limitState, now time.Time) (time.Duration, bool) {
	wait, admitted := state.bucket.Admit(now)
	elapsed := now.Sub(a.lastAdjust)
	if admitted || state.claimed || a.lastAdjust.IsZero() || elapsed < minDemandWindow {
		return wait, admitted
	}
	state.claimed = true
	state.share.RaiseUnannounced(state.bucket.ArrivedCalls()/elapsed.Seconds(), state.contractLimit.GetRate(), a.announcements[key])
	state.updateBucket(now)
	return wait, false
}

// Release ends an admitted call in the limits of its team and its customer.
func (a *Controller) Release(call *mtcall.Call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, key := range []string{call.Tenant(), call.Customer} {
		if state := a.limits[key]; state != nil {
			state.bucket.Release()
		}
	}
}

// expireLease drops all shares if their lease has expired, for example after a pause of this process.
func (a *Controller) expireLease(now time.Time) {
	if a.lastAdjust.IsZero() || now.Sub(a.lastAdjust) <= shareLeaseTimeout {
		return
	}
	for _, state := range a.limits {
		state.share = mtshare.Share{}
		state.updateBucket(now)
	}
	a.lastAdjust = now
}

// limitFor returns the state of a limit, creates it if needed, and applies a changed contract limit.
func (a *Controller) limitFor(key string, contractLimit *recordv1.Limit, now time.Time) *limitState {
	state := a.limits[key]
	if state == nil {
		state = &limitState{}
		state.share.Adjust(0, contractLimit.GetRate(), a.announcements[key])
		a.limits[key] = state
	}
	state.idlePeriods = 0
	if state.contractLimit != contractLimit {
		state.contractLimit = contractLimit
		state.updateBucket(now)
	}
	return state
}

// updateBucket applies the contract's limit and the current share to the bucket.
func (s *limitState) updateBucket(now time.Time) {
	s.bucket.SetLimit(s.contractLimit.GetRate(), float64(s.contractLimit.GetConcurrency()), s.share.Fraction(), now)
}

// Adjust moves the shares towards the demand and returns the shares to announce to the other instances. rows are the
// rows of the other live instances; period is the interval between two calls of Adjust.
func (a *Controller) Adjust(rows []*peerv1.Row, period time.Duration, now time.Time) []*peerv1.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLease(now)
	a.lastAdjust = now
	a.announcements = groupAnnouncements(rows, a.limits)
	var shares []*peerv1.Share
	for key, state := range a.limits {
		state.idlePeriods++
		state.claimed = false
		if state.idlePeriods > maxIdlePeriods && state.bucket.IsIdle() {
			delete(a.limits, key)
			continue
		}
		demand := state.bucket.UpdateDemand(period)
		share := state.share.Adjust(demand, state.contractLimit.GetRate(), a.announcements[key])
		state.updateBucket(now)
		shares = append(shares, &peerv1.Share{
			Key:    key,
			Demand: float32(demand),
			Part:   float32(share),
		})
	}
	return highestDemand(shares)
}

// highestDemand returns the maxAnnouncedLimits shares with the highest demand. The other instances treat a limit that
// is left out as idle.
func highestDemand(shares []*peerv1.Share) []*peerv1.Share {
	slices.SortFunc(shares, func(a, b *peerv1.Share) int {
		if byDemand := cmp.Compare(b.GetDemand(), a.GetDemand()); byDemand != 0 {
			return byDemand
		}
		return cmp.Compare(a.GetKey(), b.GetKey())
	})
	return shares[:min(len(shares), maxAnnouncedLimits)]
}

// groupAnnouncements groups the shares in the rows by key. An instance that announces no share for a key counts as
// idle.
func groupAnnouncements(rows []*peerv1.Row, limits map[string]*limitState) map[string][]mtshare.Announcement {
	grouped := map[string][]mtshare.Announcement{}
	for _, row := range rows {
		announced := map[string]*peerv1.Share{}
		for _, share := range row.GetShares() {
			announced[share.GetKey()] = share
		}
		for key := range limits {
			if announced[key] == nil {
				announced[key] = &peerv1.Share{}
			}
		}
		for key, share := range announced {
			grouped[key] = append(grouped[key], mtshare.Announcement{
				Demand:   float64(share.GetDemand()),
				Fraction: float64(share.GetPart()),
			})
		}
	}
	return grouped
}
