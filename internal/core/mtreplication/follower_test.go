package mtreplication

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(1000, 0)

func newTestFollower(seed uint64) *Follower {
	return NewFollower(startTime, rand.New(rand.NewPCG(seed, 1)))
}

// emptyRead returns the result of a read that found no records after an offset.
func emptyRead(offset uint64) Batch {
	return Batch{
		From: offset,
		To:   offset,
	}
}

// readOfOne returns the result of a read of the one record before an offset.
func readOfOne(offset uint64) Batch {
	return Batch{
		From:    offset - 1,
		To:      offset,
		Changes: make([]Change, 1),
	}
}

// followerAt returns a follower that has read up to an offset at startTime.
func followerAt(seed uint64, offset uint64) *Follower {
	follower := newTestFollower(seed)
	follower.ReadSucceeded(readOfOne(offset), startTime, startTime)
	return follower
}

// countReads returns the number of reads in a time span; finish records the result of a read and returns its end.
func countReads(
	follower *Follower, role Role, span time.Duration, finish func(now time.Time, wait time.Duration) time.Time,
) int {
	reads := 0
	for now := startTime; now.Before(startTime.Add(span)); {
		action, wait := follower.Next(role, now)
		if action == Sleep {
			now = now.Add(max(time.Millisecond, wait))
			continue
		}
		reads++
		now = finish(now, wait)
	}
	return reads
}

func TestReaderOfIdleFeedReadsOncePerLongPoll(t *testing.T) {
	follower := followerAt(1, 5)
	reads := countReads(follower, Reader, 40*time.Second, func(now time.Time, wait time.Duration) time.Time {
		end := now.Add(wait)
		follower.ReadSucceeded(emptyRead(5), now, end)
		require.Less(t, follower.Age(end), 200*time.Millisecond)
		return end
	})
	require.LessOrEqual(t, reads, int(40*time.Second/longPollTimeout)+1)
}

func TestListenerDoesNotReadWhileDataArrivesFromPeers(t *testing.T) {
	follower := followerAt(1, 5)
	for now := startTime; now.Before(startTime.Add(10 * time.Second)); now = now.Add(400 * time.Millisecond) {
		require.False(t, follower.ObservePeerPosition(Position{Offset: 5}, 100*time.Millisecond, now))
		action, _ := follower.Next(Listener, now)
		require.Equal(t, Sleep, action)
	}
}

// A change must be in force two seconds after it was acknowledged, also when reader and standby fail.
func TestListenerReadsStaleFeedInTime(t *testing.T) {
	for rank := range maxLowRank {
		follower := followerAt(1, 5)
		follower.SetRank(rank, 14)
		now := startTime
		for {
			action, wait := follower.Next(Listener, now)
			if action == ReadFromOffset {
				require.Zero(t, wait, "the data is overdue, so the store must answer at once")
				break
			}
			now = now.Add(wait)
		}
		require.LessOrEqual(t, now.Sub(startTime), 1700*time.Millisecond)
		require.GreaterOrEqual(t, now.Sub(startTime), listenerReadAge)
	}
}

// Reads of a store that is down must be few, and its recovery must be detected soon.
func TestBackoffWhileStoreIsDown(t *testing.T) {
	fail := func(follower *Follower, role Role) func(now time.Time, wait time.Duration) time.Time {
		return func(now time.Time, _ time.Duration) time.Time {
			follower.ReadFailed(role, now)
			return now.Add(time.Millisecond)
		}
	}
	listener := followerAt(1, 5)
	require.LessOrEqual(t, countReads(listener, Listener, 10*time.Second, fail(listener, Listener)), 6)
	reader := followerAt(1, 5)
	reads := countReads(reader, Reader, 10*time.Second, fail(reader, Reader))
	require.LessOrEqual(t, reads, 30)
	require.GreaterOrEqual(t, reads, 6)
	require.True(t, reader.IsStoreUnreachable())
	reader.ReadSucceeded(readOfOne(6), startTime, startTime)
	require.False(t, reader.IsStoreUnreachable())
}

// The reads of a store that is down must not grow with the number of instances.
func TestReadsOfLargeFleetStayFewWhileStoreIsDown(t *testing.T) {
	const fleet = 300
	total := 0
	for rank := range fleet {
		follower := followerAt(uint64(rank), 5)
		follower.SetRank(rank, fleet)
		total += countReads(follower, Listener, 10*time.Second, func(now time.Time, _ time.Duration) time.Time {
			follower.ReadFailed(Listener, now)
			return now.Add(time.Millisecond)
		})
	}
	require.LessOrEqual(t, total, 200)
	alone := followerAt(1, 5)
	alone.SetRank(0, 1)
	action, _ := alone.Next(Listener, startTime.Add(listenerReadAge))
	require.Equal(t, ReadFromOffset, action, "an instance that reaches no other must read for itself")
}

func TestFollowerReadsNewestWhenOffsetIsNoLongerRetained(t *testing.T) {
	follower := followerAt(1, 5)
	follower.RequireNewest()
	action, _ := follower.Next(Reader, startTime.Add(time.Second))
	require.Equal(t, ReadNewest, action)
}

func TestStartupWaitForPeersIsBounded(t *testing.T) {
	for role, maxWait := range map[Role]time.Duration{
		Listener: startupWait + maxStartupJitter + listenerStartupWait,
		Standby:  startupWait + maxStartupJitter,
	} {
		follower := newTestFollower(1)
		action, wait := follower.Next(role, startTime)
		require.Equal(t, Sleep, action)
		require.LessOrEqual(t, wait, maxWait)
		action, _ = follower.Next(role, startTime.Add(maxWait))
		require.Equal(t, ReadNewest, action)
	}
}

// After a restart of all instances, callers wait for the first instance that has the configuration.
func TestReaderReadsAtOnceAfterItsStart(t *testing.T) {
	action, _ := newTestFollower(1).Next(Reader, startTime)
	require.Equal(t, ReadNewest, action)
}

func TestBatchMustBeContiguousWithOffset(t *testing.T) {
	follower := followerAt(1, 5)
	require.True(t, follower.Accepts(Batch{From: 5, To: 6}))
	require.True(t, follower.Accepts(Batch{From: 3, To: 6}), "records that are known already do no harm")
	require.False(t, follower.Accepts(Batch{From: 6, To: 7}), "a record is missing")
	require.False(t, follower.Accepts(Batch{From: 3, To: 5}), "nothing is new")
	require.True(t, follower.Accepts(Batch{To: 6, Snapshot: true}))
	require.False(t, follower.Accepts(Batch{To: 4, Snapshot: true}), "an older state must not come back")
	require.False(t, newTestFollower(1).Accepts(Batch{From: 0, To: 1}), "without an offset only a snapshot is accepted")
	require.True(t, newTestFollower(1).Accepts(Batch{To: 4, Snapshot: true}))
}

func TestPeerAheadIsDetected(t *testing.T) {
	follower := followerAt(1, 5)
	require.True(t, follower.ObservePeerPosition(Position{Offset: 6}, 0, startTime))
	require.False(t, follower.ObservePeerPosition(Position{Offset: 4}, 0, startTime))
	require.True(t, newTestFollower(1).ObservePeerPosition(Position{Offset: 4}, 0, startTime))
}

func TestAgeReportedByPeerIsApplied(t *testing.T) {
	follower := followerAt(1, 5)
	now := startTime.Add(10 * time.Second)
	follower.ObservePeerPosition(Position{Offset: 5}, 700*time.Millisecond, now)
	require.Equal(t, 700*time.Millisecond, follower.Age(now))
	follower.ObservePeerPosition(Position{Offset: 5}, 2*time.Second, now)
	require.Equal(t, 700*time.Millisecond, follower.Age(now), "an older report changes nothing")
}

// The standby must not read while data from the reader arrives, must read before the listeners when it does not, and
// must stop when the reader has recovered.
func TestStandbyReadsOnlyWhileReaderIsSilent(t *testing.T) {
	follower := followerAt(1, 5)
	now := startTime
	for ; now.Before(startTime.Add(5 * time.Second)); now = now.Add(400 * time.Millisecond) {
		// The oldest data that a working reader reports: a long poll took its whole time and a pause followed.
		follower.ObservePeerPosition(Position{Offset: 5}, longPollTimeout+readPause, now)
		action, _ := follower.Next(Standby, now.Add(399*time.Millisecond))
		require.Equal(t, Sleep, action)
	}
	lost := now
	action, wait := follower.Next(Standby, lost.Add(standbyReadAge))
	require.Equal(t, ReadFromOffset, action)
	require.Equal(t, longPollTimeout, wait, "it replaces the reader")
	require.Less(t, standbyReadAge, listenerReadAge)
	now = lost.Add(standbyReadAge + longPollTimeout)
	follower.ReadSucceeded(emptyRead(5), lost.Add(standbyReadAge), now)
	action, _ = follower.Next(Standby, now)
	require.Equal(t, ReadFromOffset, action, "the reader is still silent")
	follower.ObservePeerPosition(Position{Offset: 5}, 100*time.Millisecond, now)
	action, _ = follower.Next(Standby, now)
	require.Equal(t, Sleep, action, "the reader has recovered")
}
