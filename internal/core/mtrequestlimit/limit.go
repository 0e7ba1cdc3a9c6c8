// The load pattern: an endpoint in need names the requests a second that it takes from all instances together, for as
// long as its responses say so. Each instance may use a share of the limit, whose sum over all instances is at most 1:
//
//	first named        -> the requests of the last second count against the share
//	share or limit new -> tokens keep accruing at the new rate; a new share starts without tokens
//	no longer named    -> no bound; the newest statement of any instance holds
//	not confirmed for statementTTL -> no bound, as after the endpoint has been idle

package mtrequestlimit

import (
	"math"
	"time"
)

const (
	// minPerSecond is the lowest rate, in requests per second of all instances together, at which an endpoint is asked
	// whether it still limits its requests.
	minPerSecond = 0.1
	// burstTime is the time whose tokens may be saved up.
	burstTime = 250 * time.Millisecond
	// maxDebtTime is the longest time in which an instance pays with tokens for the requests before a limit was named.
	maxDebtTime = 3 * time.Second
	// recentTime is the time constant of the count of recent requests.
	recentTime = time.Second
	// statementTTL is how long a statement holds that no instance has heard again.
	statementTTL = 30 * time.Second
)

// Limit is the limit of one endpoint as seen by one instance; the zero value has none. It is not safe for concurrent use.
type Limit struct {
	statement Statement
	// changedAt is when the statement last changed the limit.
	changedAt time.Time
	share     float64
	// tokens is the number of requests that may be sent at updatedAt; it is negative after a burst before the limit.
	tokens    float64
	updatedAt time.Time
	// recentRequests is the number of requests in about the last recentTime, at recentAt.
	recentRequests float64
	recentAt       time.Time
}

// Statement returns the newest statement of the endpoint.
func (l *Limit) Statement() Statement {
	return l.statement
}

// ChangedAt returns when the limit was last named, changed or lifted; zero if it never was.
func (l *Limit) ChangedAt() time.Time {
	return l.changedAt
}

// IsLimited reports whether the endpoint limits its requests.
func (l *Limit) IsLimited(now time.Time) bool {
	return l.statement.IsLimited && now.Sub(l.statement.At) < statementTTL
}

// Apply applies a statement unless a newer one is known, and reports whether it changes the limit.
func (l *Limit) Apply(statement Statement, now time.Time) bool {
	if !statement.At.After(l.statement.At) {
		return false
	}
	l.refill(now)
	wasLimited := l.IsLimited(now)
	previous := l.statement
	l.statement = statement
	if statement.isSame(previous) && wasLimited == l.IsLimited(now) {
		return false
	}
	if !wasLimited {
		l.decayRecentRequests(now)
		l.tokens = max(min(0, l.rate()*recentTime.Seconds()-l.recentRequests), -l.rate()*maxDebtTime.Seconds())
	}
	l.tokens = min(l.tokens, l.maxTokens())
	l.changedAt = now
	return true
}

// SetShare sets the share of the limit that this instance may use, from 0 to 1.
func (l *Limit) SetShare(share float64, now time.Time) {
	l.refill(now)
	if l.share == 0 {
		l.tokens = min(l.tokens, 0)
	}
	l.share = share
	l.tokens = min(l.tokens, l.maxTokens())
}

// RecordRequest records that a request is assigned to the endpoint.
func (l *Limit) RecordRequest(now time.Time) {
	l.decayRecentRequests(now)
	l.recentRequests++
	l.refill(now)
	l.tokens--
}

// Allows reports whether a request may be assigned to the endpoint.
func (l *Limit) Allows(now time.Time) bool {
	if !l.IsLimited(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// NextAt returns when the next request may be assigned to the endpoint; found is false if this instance has no share.
func (l *Limit) NextAt(now time.Time) (at time.Time, found bool) {
	if l.Allows(now) {
		return now, true
	}
	if l.rate() <= 0 {
		return time.Time{}, false
	}
	missing := time.Duration(math.Ceil((1 - l.tokens) / l.rate() * float64(time.Second)))
	return now.Add(missing), true
}

// OwnRate returns the requests a second that this instance may send, or +Inf without a limit.
func (l *Limit) OwnRate(now time.Time) float64 {
	if !l.IsLimited(now) {
		return math.Inf(1)
	}
	return l.rate()
}

func (l *Limit) rate() float64 {
	return l.share * max(minPerSecond, l.statement.PerSecond)
}

// maxTokens returns the size of the largest burst of this instance.
func (l *Limit) maxTokens() float64 {
	return max(1, l.rate()*burstTime.Seconds())
}

// refill adds the tokens for the time since the last update.
func (l *Limit) refill(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 && !l.updatedAt.IsZero() && l.statement.IsLimited {
		l.tokens = min(l.maxTokens(), l.tokens+l.rate()*elapsed.Seconds())
	}
	l.updatedAt = now
}

func (l *Limit) decayRecentRequests(now time.Time) {
	if elapsed := now.Sub(l.recentAt); elapsed > 0 {
		l.recentRequests *= math.Exp(-elapsed.Seconds() / recentTime.Seconds())
		l.recentAt = now
	}
}
