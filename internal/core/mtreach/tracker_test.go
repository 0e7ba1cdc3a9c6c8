package mtreach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func TestFailuresOfSeveralEndpointsAreChecked(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordResponse(t0)
	tracker.RecordFailure("one", false, t0)
	require.False(t, tracker.TakeCheck(5, t0), "one endpoint may have failed alone")
	tracker.RecordFailure("two", true, t0)
	require.True(t, tracker.TakeCheck(5, t0))
	require.False(t, tracker.TakeCheck(5, t0), "a check is under way")
	require.False(t, tracker.IsCut())
	require.True(t, tracker.CheckEnded(false, t0))
	require.True(t, tracker.IsCut())
}

func TestOnlyEndpointOfServiceIsChecked(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure("one", false, t0)
	require.True(t, tracker.TakeCheck(1, t0))
	require.False(t, NewTracker().TakeCheck(0, t0))
}

func TestResponseEndsSuspicionOfSilence(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure("one", true, t0)
	tracker.RecordResponse(t0)
	tracker.RecordFailure("two", true, t0)
	require.False(t, tracker.TakeCheck(5, t0))
}

// Open connections live on while new ones fail.
func TestResponsesOnOpenConnectionsDoNotHideFailedNewOnes(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure("one", false, t0)
	tracker.RecordResponse(t0)
	tracker.RecordFailure("two", false, t0)
	tracker.RecordResponse(t0)
	require.True(t, tracker.TakeCheck(5, t0))

	tracker = NewTracker()
	tracker.RecordFailure("one", false, t0)
	tracker.RecordConnected()
	tracker.RecordResponse(t0)
	tracker.RecordFailure("two", false, t0)
	require.False(t, tracker.TakeCheck(5, t0), "a new connection was opened in between")
}

func TestOldFailuresDoNotCount(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure("one", false, t0)
	now := t0.Add(maxFailureAge + time.Millisecond)
	tracker.RecordResponse(now)
	tracker.RecordFailure("two", false, now)
	require.False(t, tracker.TakeCheck(5, now))
}

// Some endpoints have crashed, but others respond.
func TestAnsweredCheckEndsSuspicionForAWhile(t *testing.T) {
	tracker := NewTracker()
	fail := func(now time.Time) {
		tracker.RecordFailure("one", false, now)
		tracker.RecordFailure("two", false, now)
	}
	fail(t0)
	require.True(t, tracker.TakeCheck(5, t0))
	require.False(t, tracker.CheckEnded(true, t0))
	require.False(t, tracker.IsCut())
	fail(t0)
	require.False(t, tracker.TakeCheck(5, t0.Add(minSuspicionInterval-time.Millisecond)))
	require.True(t, tracker.TakeCheck(5, t0.Add(minSuspicionInterval)))
}

func TestCutIsCheckedUntilAnEndpointResponds(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordFailure("one", false, t0)
	require.True(t, tracker.TakeCheck(1, t0))
	tracker.CheckEnded(false, t0)
	now := t0
	for range 10 {
		require.False(t, tracker.TakeCheck(1, now.Add(CheckInterval-time.Millisecond)))
		now = now.Add(CheckInterval)
		require.True(t, tracker.TakeCheck(1, now))
		require.False(t, tracker.CheckEnded(false, now))
		require.True(t, tracker.IsCut())
	}
	now = now.Add(CheckInterval)
	require.True(t, tracker.TakeCheck(1, now))
	require.True(t, tracker.CheckEnded(true, now))
	require.False(t, tracker.IsCut())
}

// An instance with few requests must not need several of them to notice.
func TestOneFailureOfQuietInstanceIsChecked(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordResponse(t0)
	now := t0.Add(quietTime + time.Millisecond)
	tracker.RecordFailure("one", false, now)
	require.True(t, tracker.TakeCheck(5, now))
}

// Most or all instances of a data centre may be cut, and only some of them have requests.
func TestServiceThatAnotherInstanceHasLostIsCheckedOnce(t *testing.T) {
	tracker := NewTracker()
	tracker.RecordResponse(t0)
	tracker.RecordPeerCut()
	require.True(t, tracker.TakeCheck(5, t0))
	tracker.CheckEnded(true, t0)
	require.False(t, tracker.TakeCheck(5, t0.Add(time.Minute)))
}
