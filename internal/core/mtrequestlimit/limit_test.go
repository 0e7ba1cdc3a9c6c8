package mtrequestlimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func named(perSecond float64, at time.Time) Statement {
	return Statement{
		PerSecond: perSecond,
		IsLimited: true,
		At:        at,
	}
}

// newLimit returns a limit that was named at t0, with a share of this instance.
func newLimit(perSecond, share float64) *Limit {
	limit := &Limit{}
	limit.SetShare(share, t0)
	limit.Apply(named(perSecond, t0), t0)
	return limit
}

// sendFor sends requests as soon as they are allowed, and returns their number.
func sendFor(limit *Limit, from time.Time, duration time.Duration) int {
	count := 0
	for now := from; now.Before(from.Add(duration)); now = now.Add(time.Millisecond) {
		for limit.Allows(now) && count < 1e6 {
			limit.RecordRequest(now)
			count++
		}
	}
	return count
}

func TestWithoutStatementThereIsNoLimit(t *testing.T) {
	limit := &Limit{}
	limit.SetShare(0, t0)
	for range 1000 {
		require.True(t, limit.Allows(t0))
		limit.RecordRequest(t0)
	}
	require.Zero(t, limit.ChangedAt())
}

func TestShareOfLimitIsUsedAndNotExceeded(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.3, 2.2, 40, 1000} {
		limit := newLimit(perSecond, 0.5)
		require.InDelta(t, 0.5*perSecond*20, float64(sendFor(limit, t0, 20*time.Second)), 1+0.02*perSecond)
	}
}

func TestIdleTimeSavesOnlyAShortBurst(t *testing.T) {
	limit := newLimit(2, 1)
	require.Equal(t, 1, sendFor(limit, t0.Add(20*time.Second), time.Millisecond))
	limit = newLimit(40, 1)
	require.Equal(t, 10, sendFor(limit, t0.Add(20*time.Second), time.Millisecond))
}

func TestInstanceWithoutShareSendsNothing(t *testing.T) {
	limit := newLimit(100, 0)
	require.Zero(t, sendFor(limit, t0, time.Minute/3))
	_, found := limit.NextAt(t0)
	require.False(t, found)
	limit.SetShare(1, t0.Add(20*time.Second))
	require.False(t, limit.Allows(t0.Add(20*time.Second)), "a new share starts without tokens")
}

// The requests of the second before the limit was named count, but not for long.
func TestRequestsBeforeTheLimitCountAgainstIt(t *testing.T) {
	limit := &Limit{}
	limit.SetShare(1, t0)
	for n := range 40 {
		limit.RecordRequest(t0.Add(time.Duration(n) * 50 * time.Millisecond))
	}
	start := t0.Add(2 * time.Second)
	limit.Apply(named(2, start), start)
	next, found := limit.NextAt(start)
	require.True(t, found)
	require.Greater(t, next.Sub(start), 3*time.Second)
	require.LessOrEqual(t, next.Sub(start), maxDebtTime+500*time.Millisecond)
}

func TestChangedAndLiftedLimit(t *testing.T) {
	limit := newLimit(10, 1)
	now := t0.Add(time.Second)
	require.True(t, limit.Apply(named(1, now), now))
	require.LessOrEqual(t, sendFor(limit, now, 4*time.Second), 5)
	now = now.Add(4 * time.Second)
	require.False(t, limit.Apply(named(1, now), now), "the same limit again")
	require.False(t, limit.Apply(Statement{At: t0}, now), "an older statement")
	require.True(t, limit.IsLimited(now))
	now = now.Add(time.Second)
	require.True(t, limit.Apply(Statement{At: now}, now))
	require.False(t, limit.IsLimited(now))
	require.Equal(t, now, limit.ChangedAt())
	require.False(t, limit.Apply(named(1, now.Add(-time.Millisecond)), now), "a peer heard that before it was lifted")
	require.True(t, limit.Allows(now))
}

func TestStatementExpiresWithoutConfirmation(t *testing.T) {
	limit := newLimit(1, 1)
	require.True(t, limit.IsLimited(t0.Add(statementTTL-time.Millisecond)))
	require.False(t, limit.IsLimited(t0.Add(statementTTL)))
	limit.Apply(named(1, t0.Add(20*time.Second)), t0.Add(20*time.Second))
	require.True(t, limit.IsLimited(t0.Add(statementTTL)))
}

// An endpoint that takes nothing is asked from time to time, since only its responses can lift the limit.
func TestLimitOfZeroIsTriedRarely(t *testing.T) {
	limit := newLimit(0, 1)
	require.Zero(t, sendFor(limit, t0, 9*time.Second))
	require.Equal(t, 1, sendFor(limit, t0.Add(9*time.Second), 9*time.Second))
}

func TestNextAtIsWhenARequestIsAllowed(t *testing.T) {
	limit := newLimit(3, 0.5)
	next, found := limit.NextAt(t0)
	require.True(t, found)
	require.False(t, limit.Allows(next.Add(-time.Millisecond)))
	require.True(t, limit.Allows(next))
}
