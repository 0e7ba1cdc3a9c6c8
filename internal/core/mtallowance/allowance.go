// The load pattern: endpoints of a service begin to fail when each instance has saved up extra attempts, and meanwhile
// instances start, end, are paused or partitioned, or hand over the callers to each other.
//
// Extra attempts are earned, by requests and by time, and only so many are saved. No event grants any: an instance that
// starts has none, and one whose share rises has no more than before. In each window, the extra attempts of all
// instances, of those that have ended in it too, are therefore at most, rounded once for each instance, the sum of
//
//	earnedPart x ratio x the requests in the window
//	savedPart x ratio x the requests in the window before
//	the slack that all shares together may save, and the slack that accrues to them in a window

package mtallowance

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
)

const (
	// earnedPart is the part of the ratio that each request earns, and savedPart the part of the ratio of the recent
	// requests that may be saved. The sum is below 1 because a window of requests counts up to a tenth more than its
	// length, and because attempts arrive later than they are taken.
	earnedPart = 0.65
	savedPart  = 0.25
	// maxSlackAge is the age beyond which a share of the slack is void, because the process was paused and others may
	// have taken the share over.
	maxSlackAge = 2 * time.Second
)

// Allowance is the extra attempts, retries and hedges, that one instance may make for one service. It is not safe for
// concurrent use.
type Allowance struct {
	ratio    float64
	window   time.Duration
	requests *mtwindow.Window
	// savedSlack is the part of the slack that may be saved, and accruedSlack the one that accrues in each window, both
	// as a number of attempts.
	savedSlack   float64
	accruedSlack float64
	// slackAt is when the share of the slack was last confirmed.
	slackAt time.Time
	// saved is the number of attempts that may be made at updatedAt.
	saved     float64
	updatedAt time.Time
	// carry is the part of an attempt that earlier denied ones have left.
	carry float64
}

// New returns an allowance without any attempts; ratio is the number of extra attempts allowed per request in a window.
// The carry must be drawn evenly from [0, 1): many instances with small shares then make as many attempts together as
// the shares add up to.
func New(ratio float64, window time.Duration, carry float64) *Allowance {
	return &Allowance{
		carry:    carry,
		ratio:    ratio,
		window:   window,
		requests: mtwindow.NewWindow(window),
	}
}

// ForService returns an allowance for one more service with the attempts that this one, without requests, has saved.
func (a *Allowance) ForService(carry float64) *Allowance {
	service := *a
	service.requests = mtwindow.NewWindow(a.window)
	service.carry = carry
	return &service
}

// SetRatio changes the ratio and the window. The attempts that are saved stay, up to the new bound.
func (a *Allowance) SetRatio(ratio float64, window time.Duration, now time.Time) {
	a.accrue(now)
	if window != a.window {
		a.requests = mtwindow.NewWindow(window)
	}
	a.ratio = ratio
	a.window = window
}

// SetSlack sets this instance's share of the slack: how many attempts it may save, and how many accrue in each window.
func (a *Allowance) SetSlack(saved, accrued float64, now time.Time) {
	a.accrue(now)
	a.savedSlack = saved
	a.accruedSlack = accrued
	a.slackAt = now
}

// RecordRequest records a request, which earns a part of an attempt.
func (a *Allowance) RecordRequest(now time.Time) {
	a.accrue(now)
	a.requests.Add(1, now)
	a.saved += earnedPart * a.ratio
}

// Take takes an extra attempt, if one may be made. An instance that has less than one saved adds all of it to the carry,
// and may make the attempt once the carry has reached one.
func (a *Allowance) Take(now time.Time) bool {
	a.accrue(now)
	if a.saved >= 1 {
		a.saved--
		return true
	}
	a.carry += a.saved
	a.saved = 0
	if a.carry < 1 {
		return false
	}
	a.carry--
	return true
}

// Saved returns how many extra attempts may be made.
func (a *Allowance) Saved(now time.Time) float64 {
	a.accrue(now)
	return a.saved
}

// accrue adds the slack since the last update and drops what may not be saved.
func (a *Allowance) accrue(now time.Time) {
	if age(a.slackAt, now) > maxSlackAge {
		a.saved = 0
		a.savedSlack = 0
		a.accruedSlack = 0
	}
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 && !a.updatedAt.IsZero() {
		a.saved += a.accruedSlack * elapsed.Seconds() / a.window.Seconds()
	}
	a.updatedAt = now
	a.saved = min(a.saved, a.savedSlack+savedPart*a.ratio*a.requests.Sum(now))
}

// age returns the time since an event. The monotonic clock may stand still while the machine is suspended, and the wall
// clock may be set back.
func age(event, now time.Time) time.Duration {
	return max(now.Sub(event), now.Round(0).Sub(event.Round(0)))
}
