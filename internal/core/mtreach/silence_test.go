package mtreach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newCheckingTracker returns a tracker with a check that began at t0.
func newCheckingTracker(t *testing.T) *Tracker {
	t.Helper()
	tracker := NewTracker()
	tracker.RecordFailure("one", true, t0)
	require.True(t, tracker.TakeCheck(1, t0))
	return tracker
}

func TestSilenceOfAllServicesIsPartition(t *testing.T) {
	tracker := newCheckingTracker(t)
	require.Equal(t, KeepWaiting, tracker.JudgeSilence(t0, t0, t0.Add(minSilence-time.Millisecond)))
	require.Equal(t, Unreachable, tracker.JudgeSilence(t0, t0, t0.Add(minSilence)))
}

// The silence counts from the last response, which may have been on its way when the partition began.
func TestSilenceCountsFromLastResponse(t *testing.T) {
	tracker := newCheckingTracker(t)
	last := t0.Add(100 * time.Millisecond)
	require.Equal(t, KeepWaiting, tracker.JudgeSilence(t0, last, t0.Add(minSilence)))
	require.Equal(t, Unreachable, tracker.JudgeSilence(t0, last, last.Add(minSilence)))
}

func TestResponsesToOtherRequestsAreNoPartition(t *testing.T) {
	tracker := newCheckingTracker(t)
	last := t0.Add(300 * time.Millisecond)
	tracker.RecordResponse(last)
	require.Equal(t, Reachable, tracker.JudgeSilence(t0, last, t0.Add(minSilence)))
	now := t0.Add(minSilence)
	tracker.CheckAbandoned(now)
	require.False(t, tracker.IsCut())
	tracker.RecordFailure("one", true, now)
	require.False(t, tracker.TakeCheck(1, now.Add(CheckInterval-time.Millisecond)))
	require.True(t, tracker.TakeCheck(1, now.Add(CheckInterval)))
}

// One service alone is partitioned, while the endpoints of others respond.
func TestSilentServiceIsLostAlthoughOthersRespond(t *testing.T) {
	tracker := newCheckingTracker(t)
	for now := t0; now.Before(t0.Add(MaxCheckTime)); now = now.Add(SilenceInterval) {
		require.Equal(t, KeepWaiting, tracker.JudgeSilence(t0, now, now))
	}
	now := t0.Add(MaxCheckTime)
	require.Equal(t, Unreachable, tracker.JudgeSilence(t0, now, now))
}

// A check of a lost service ends soon, so that the next one begins soon.
func TestSilentCheckOfLostServiceEndsSoon(t *testing.T) {
	tracker := newCheckingTracker(t)
	tracker.CheckEnded(false, t0)
	began := t0.Add(CheckInterval)
	require.True(t, tracker.TakeCheck(1, began))
	now := began.Add(minSilence)
	require.Equal(t, Unreachable, tracker.JudgeSilence(began, now, now))
}
