// The load pattern: an endpoint that has started, or becomes cold later, takes only a few requests a second of all instances
// together. How long it is cold follows from findings, of which the newest holds:
//
//	entry with a higher count than known   -> cold for the stated time from when it was read
//	health response                        -> cold for the stated time, unless the check was sent before the last finding
//	crash, or end of an evacuation         -> cold until it has responded, and for the configured time from then on
//	finding of another instance            -> the same, if it is newer and differs
//
// Each instance has a share of the rate, as for a limit that an endpoint names itself.

package mtwarmup

import (
	"math"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtrequestlimit"
)

const (
	// entryDelay is the time after a crash or an evacuation in which the next entry may have been written before; the one
	// after that was not, since a process writes one at a time.
	entryDelay = 500 * time.Millisecond
	// maxEntryAge is the time after a health response in which an entry may be older: the store may execute a write seconds
	// after it was sent.
	maxEntryAge = 3 * time.Second
	// renewalInterval is the age at which the limit is stated again; mtrequestlimit forgets older ones after 30 s.
	renewalInterval = 10 * time.Second
	// crashCheckInterval is the time between two checks whether the process has crashed: an endpoint that closes many connections
	// must not be checked for each.
	crashCheckInterval = time.Second
	// minDifference is the least difference between the ends of two cold times that tells them apart, but in the last part of the
	// cold time: messages between instances add some milliseconds to each, and an endpoint without traffic states in each health
	// response that it stays cold for as long as before, which must not cause a message each time.
	minDifference = 500 * time.Millisecond
	// minLateDifference is the same when the other instances expect the end within minDifference.
	minLateDifference = 100 * time.Millisecond
	// unusedShareTime is how long this instance may leave its share unused before the endpoint comes first. An endpoint must
	// get requests within 4 s, and the first token takes up to 2 s.
	unusedShareTime = time.Second
)

// Finding is how long an endpoint is cold, as an instance has found it.
type Finding struct {
	// Left is how much longer the endpoint is cold, counted from when the finding is passed on, or 0 if it is warm.
	Left time.Duration
	// At is when it was found so.
	At time.Time
}

// WarmUp is the warm-up of one process of an endpoint as seen by one instance; the zero value is never cold. It is not safe for
// concurrent use.
type WarmUp struct {
	// duration and rate are configured; without both, the endpoint is never cold.
	duration time.Duration
	rate     float64

	coldUntil time.Time
	// sharedUntil is the end of the cold time that the other instances know.
	sharedUntil time.Time
	// foundAt is when the last finding was made; zero before the first one.
	foundAt time.Time
	// awaitsResponse is set after a crash or an evacuation until the endpoint responds.
	awaitsResponse bool
	// isAssumed is set if the last finding is not a statement of the endpoint.
	isAssumed bool
	// isFromFeed is set if the last finding follows from what all instances read, and changedAt is when another one last changed
	// the end of the cold time.
	isFromFeed bool
	changedAt  time.Time
	// entrySeq is the count of the last entry, and knownSeq the one at the last finding that was not an entry.
	entrySeq int64
	knownSeq int64
	hasEntry bool

	limit mtrequestlimit.Limit
	// isLimiting is set while the limit is stated, with limitedRate at limitedAt.
	isLimiting  bool
	limitedRate float64
	limitedAt   time.Time
	// coldSince is when the endpoint last became cold.
	coldSince time.Time
	// crashCheckedAt is when a check whether the process has crashed was last due.
	crashCheckedAt time.Time
	// lastRequestAt is when a request was last assigned.
	lastRequestAt time.Time
}

// Configure sets how long an endpoint of the service is cold after its start, and its rate, in requests per second of all
// instances together, while it is.
func (w *WarmUp) Configure(duration time.Duration, rate float64, now time.Time) {
	w.duration = duration
	w.rate = rate
	w.update(now)
}

// ApplyEntry applies an entry of the process, which is cold until a time. An entry that is no later than the last one states nothing
// new, and one that may have been written before the last other finding does not shorten the cold time.
func (w *WarmUp) ApplyEntry(seq int64, coldUntil, now time.Time) {
	if w.hasEntry && seq <= w.entrySeq {
		return
	}
	w.hasEntry = true
	w.entrySeq = seq
	if coldUntil.After(w.coldUntil) || !w.mayPrecedeFinding(seq, now) {
		w.set(coldUntil, now, now)
		w.isFromFeed = true
		w.sharedUntil = coldUntil
	}
}

// mayPrecedeFinding reports whether an entry may have been written before the last finding.
func (w *WarmUp) mayPrecedeFinding(seq int64, now time.Time) bool {
	switch {
	case w.isAssumed:
		return seq <= w.knownSeq+1 && now.Sub(w.foundAt) < entryDelay
	case w.isFromFeed:
		return false
	default:
		return !w.foundAt.IsZero() && now.Sub(w.foundAt) < maxEntryAge
	}
}

// ApplyHealth applies a health response to a check that was sent at a time, and reports whether it changes when the endpoint is
// warm.
func (w *WarmUp) ApplyHealth(left time.Duration, sentAt, now time.Time) bool {
	if sentAt.Before(w.foundAt) {
		return false
	}
	differs := w.differs(now.Add(left), now)
	w.set(now.Add(left), now, now)
	if differs {
		w.recordChange(now)
	}
	return differs
}

// RecordCrash records that the process has crashed or restarted, and reports whether that was not known.
func (w *WarmUp) RecordCrash(now time.Time) bool {
	wasKnown := w.awaitsResponse && w.IsCold(now)
	w.assume(now)
	w.recordChange(now)
	return !wasKnown && w.IsCold(now)
}

// TakeCrashCheck reports whether a check whether the process has crashed is due, and counts it.
func (w *WarmUp) TakeCrashCheck(now time.Time) bool {
	if !w.crashCheckedAt.IsZero() && now.Sub(w.crashCheckedAt) < crashCheckInterval {
		return false
	}
	w.crashCheckedAt = now
	return true
}

// RecordReturn records that the evacuation of the endpoint has ended.
func (w *WarmUp) RecordReturn(now time.Time) {
	w.assume(now)
	w.isFromFeed = true
}

// assume makes the endpoint cold until it has responded, and for the configured time from then on.
func (w *WarmUp) assume(now time.Time) {
	w.set(now.Add(w.duration), now, now)
	w.isAssumed = true
	w.awaitsResponse = true
	w.update(now)
}

// RecordResponse records a response of the endpoint to a request or a check that was sent at a time, and reports whether it is the
// first one after a crash or an evacuation.
func (w *WarmUp) RecordResponse(sentAt, now time.Time) bool {
	if !w.awaitsResponse || sentAt.Before(w.foundAt) {
		return false
	}
	w.set(now.Add(w.duration), now, now)
	w.isAssumed = true
	w.recordChange(now)
	return w.IsCold(now)
}

// recordChange records that this or another instance has found something that the feeds do not state.
func (w *WarmUp) recordChange(now time.Time) {
	w.isFromFeed = false
	w.changedAt = now
	w.sharedUntil = w.coldUntil
}

// ApplyFinding applies what another instance has found, and reports whether it changes when the endpoint is warm.
func (w *WarmUp) ApplyFinding(finding Finding, now time.Time) bool {
	coldUntil := now.Add(finding.Left)
	differs := w.differs(coldUntil, now)
	if !finding.At.After(w.foundAt) || !differs && !w.awaitsResponse {
		return false
	}
	w.set(coldUntil, finding.At, now)
	w.isAssumed = true
	w.recordChange(now)
	return differs
}

// Finding returns what the other instances must know of the endpoint, while it is cold and within a lifetime after it became warm;
// found is false if there is nothing, or all instances read it themselves.
func (w *WarmUp) Finding(lifetime time.Duration, now time.Time) (finding Finding, found bool) {
	if w.changedAt.IsZero() || w.isFromFeed || !w.isConfigured() || !w.IsCold(now) && now.Sub(w.changedAt) >= lifetime {
		return Finding{}, false
	}
	finding = Finding{
		Left: max(0, w.coldUntil.Sub(now)),
		At:   w.foundAt,
	}
	if w.awaitsResponse {
		finding.Left = w.duration
	}
	return finding, true
}

// set replaces the last finding by a statement of the endpoint.
func (w *WarmUp) set(coldUntil, foundAt, now time.Time) {
	w.coldUntil = coldUntil
	w.foundAt = foundAt
	w.knownSeq = w.entrySeq
	w.awaitsResponse = false
	w.isAssumed = false
	w.update(now)
}

// differs reports whether an end of the cold time differs so much from the one that the other instances know that they must be told.
func (w *WarmUp) differs(coldUntil, now time.Time) bool {
	if w.IsCold(now) != (w.isConfigured() && coldUntil.After(now)) {
		return true
	}
	if !w.IsCold(now) || w.awaitsResponse {
		return false
	}
	difference := coldUntil.Sub(w.sharedUntil)
	isLate := w.sharedUntil.Sub(now) < minDifference
	return difference.Abs() > max(minDifference, w.duration/2) || isLate && difference > minLateDifference
}

func (w *WarmUp) isConfigured() bool {
	return w.duration > 0 && w.rate > 0
}

// IsCold reports whether the endpoint is cold.
func (w *WarmUp) IsCold(now time.Time) bool {
	return w.isConfigured() && (w.awaitsResponse || now.Before(w.coldUntil))
}

// isUnlimited reports whether the endpoint is warm and was so at the last update. The scheduler asks for each endpoint several times
// for each request, so this is decided without an update.
func (w *WarmUp) isUnlimited(now time.Time) bool {
	return !w.isLimiting && !w.IsCold(now)
}

// Rate returns the number of requests a second that the endpoint takes from all instances together while it is cold.
func (w *WarmUp) Rate() float64 {
	return w.rate
}

// update brings the limit in line with whether the endpoint is cold.
func (w *WarmUp) update(now time.Time) {
	isCold := w.IsCold(now)
	isCurrent := !isCold || w.limitedRate == w.rate && now.Sub(w.limitedAt) < renewalInterval
	if isCold == w.isLimiting && isCurrent {
		return
	}
	// Of two statements, the limit takes the one with the later time.
	at := now
	if !at.After(w.limitedAt) {
		at = w.limitedAt.Add(1)
	}
	w.limit.Apply(mtrequestlimit.Statement{
		PerSecond: w.rate,
		IsLimited: isCold,
		At:        at,
	}, now)
	if isCold && !w.isLimiting {
		// The share counts as unused only from now on.
		w.lastRequestAt = now
		w.coldSince = now
	}
	w.isLimiting, w.limitedRate, w.limitedAt = isCold, w.rate, at
}

// AllowsAssigned reports whether a request may still be sent that was assigned to the endpoint at a time: not if the endpoint has
// become cold since, because the request was assigned without regard to the rate.
func (w *WarmUp) AllowsAssigned(assignedAt, now time.Time) bool {
	w.update(now)
	return !w.IsCold(now) || !assignedAt.Before(w.coldSince)
}

// SetShare sets the share of the rate that this instance may use, from 0 to 1.
func (w *WarmUp) SetShare(share float64, now time.Time) {
	w.update(now)
	w.limit.SetShare(share, now)
}

// RecordRequest records that a request is assigned to the endpoint.
func (w *WarmUp) RecordRequest(now time.Time) {
	w.update(now)
	w.limit.RecordRequest(now)
	w.lastRequestAt = now
}

// Allows reports whether a request may be assigned to the endpoint.
func (w *WarmUp) Allows(now time.Time) bool {
	if w.isUnlimited(now) {
		return true
	}
	w.update(now)
	return !w.IsCold(now) || w.limit.OwnRate(now) > 0 && w.limit.Allows(now)
}

// NextAt returns when the next request may be assigned to the endpoint; found is false if this instance has no share.
func (w *WarmUp) NextAt(now time.Time) (at time.Time, found bool) {
	w.update(now)
	if !w.IsCold(now) {
		return now, true
	}
	if w.limit.OwnRate(now) <= 0 {
		return time.Time{}, false
	}
	return w.limit.NextAt(now)
}

// OwnRate returns the requests a second that this instance may send, or +Inf if the endpoint is warm.
func (w *WarmUp) OwnRate(now time.Time) float64 {
	if w.isUnlimited(now) {
		return math.Inf(1)
	}
	w.update(now)
	return w.limit.OwnRate(now)
}

// IsShareUnused reports whether this instance has left its share of a cold endpoint unused for so long that the endpoint should get
// the next request.
func (w *WarmUp) IsShareUnused(now time.Time) bool {
	if !w.IsCold(now) || !w.Allows(now) {
		return false
	}
	return now.Sub(w.lastRequestAt) >= unusedShareTime
}
