package mtnews

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func newTestFollower(seed uint64) *Follower {
	return NewFollower(t0, rand.New(rand.NewPCG(seed, 1)))
}

// known returns a follower that has read up to an offset at t0.
func known(seed uint64, offset uint64) *Follower {
	follower := newTestFollower(seed)
	follower.Done(offset, 1, t0, t0)
	return follower
}

// readsIn counts the reads of a span in which each read takes no time and ends as told.
func readsIn(follower *Follower, role Role, span time.Duration, end func(now time.Time, wait time.Duration) time.Time) int {
	reads := 0
	for now := t0; now.Before(t0.Add(span)); {
		action, wait := follower.Next(role, now)
		if action == Sleep {
			now = now.Add(max(time.Millisecond, wait))
			continue
		}
		reads++
		now = end(now, wait)
	}
	return reads
}

func TestReaderOfAQuietFeedReadsOnceInItsWait(t *testing.T) {
	follower := known(1, 5)
	reads := readsIn(follower, Reader, 40*time.Second, func(now time.Time, wait time.Duration) time.Time {
		end := now.Add(wait)
		follower.Done(5, 0, now, end)
		require.Less(t, follower.Age(end), 200*time.Millisecond)
		return end
	})
	require.LessOrEqual(t, reads, int(40*time.Second/readWait)+1)
}

func TestOthersDoNotReadWhileTheyHear(t *testing.T) {
	follower := known(1, 5)
	for now := t0; now.Before(t0.Add(10 * time.Second)); now = now.Add(400 * time.Millisecond) {
		require.False(t, follower.Heard(5, 100*time.Millisecond, now))
		action, _ := follower.Next(Listener, now)
		require.Equal(t, Sleep, action)
	}
}

// A change must be in force two seconds after it was acknowledged, whoever falls silent.
func TestStaleNewsAreReadInTime(t *testing.T) {
	for rank := range rankFew {
		follower := known(1, 5)
		follower.Place(rank, 14)
		now := t0
		for {
			action, wait := follower.Next(Listener, now)
			if action == ReadOn {
				require.Zero(t, wait, "the news are overdue, so the store must answer at once")
				break
			}
			now = now.Add(wait)
		}
		require.LessOrEqual(t, now.Sub(t0), 1700*time.Millisecond)
		require.GreaterOrEqual(t, now.Sub(t0), staleAfter)
	}
}

// A store that is down must not be stormed, and its return must be noticed soon.
func TestStoreThatIsDownIsAskedSeldom(t *testing.T) {
	fail := func(follower *Follower, role Role) func(now time.Time, wait time.Duration) time.Time {
		return func(now time.Time, _ time.Duration) time.Time {
			follower.Failed(role, now)
			return now.Add(time.Millisecond)
		}
	}
	other := known(1, 5)
	require.LessOrEqual(t, readsIn(other, Listener, 10*time.Second, fail(other, Listener)), 6)
	reader := known(1, 5)
	reads := readsIn(reader, Reader, 10*time.Second, fail(reader, Reader))
	require.LessOrEqual(t, reads, 30)
	require.GreaterOrEqual(t, reads, 6)
	require.True(t, reader.IsCut())
	reader.Done(6, 1, t0, t0)
	require.False(t, reader.IsCut())
}

// The calls of a whole fleet to a store that is down stay few: they must not grow with the fleet.
func TestLargeFleetAsksAStoreThatIsDownSeldom(t *testing.T) {
	const fleet = 300
	total := 0
	for rank := range fleet {
		follower := known(uint64(rank), 5)
		follower.Place(rank, fleet)
		total += readsIn(follower, Listener, 10*time.Second, func(now time.Time, _ time.Duration) time.Time {
			follower.Failed(Listener, now)
			return now.Add(time.Millisecond)
		})
	}
	require.LessOrEqual(t, total, 200)
	alone := known(1, 5)
	alone.Place(0, 1)
	action, _ := alone.Next(Listener, t0.Add(staleAfter))
	require.Equal(t, ReadOn, action, "an instance that hears nobody must ask for itself")
}

func TestForgottenRecordsMakeItReadTheNewest(t *testing.T) {
	follower := known(1, 5)
	follower.Forgotten()
	action, _ := follower.Next(Reader, t0.Add(time.Second))
	require.Equal(t, ReadNewest, action)
}

func TestStartWaitsForPeersOnlyBriefly(t *testing.T) {
	for role, most := range map[Role]time.Duration{
		Listener: settleTime + settleSpread + settleOthers,
		Standby:  settleTime + settleSpread,
		Reader:   settleTime + settleSpread,
	} {
		follower := newTestFollower(1)
		action, wait := follower.Next(role, t0)
		require.Equal(t, Sleep, action)
		require.LessOrEqual(t, wait, most)
		action, _ = follower.Next(role, t0.Add(most))
		require.Equal(t, ReadNewest, action)
	}
}

func TestBatchesMustJoin(t *testing.T) {
	follower := known(1, 5)
	require.True(t, follower.Accepts(Batch{From: 5, To: 6}))
	require.True(t, follower.Accepts(Batch{From: 3, To: 6}), "records that are known already do no harm")
	require.False(t, follower.Accepts(Batch{From: 6, To: 7}), "a record is missing")
	require.False(t, follower.Accepts(Batch{From: 3, To: 5}), "nothing is new")
	require.True(t, follower.Accepts(Batch{To: 6, Whole: true}))
	require.False(t, follower.Accepts(Batch{To: 4, Whole: true}), "an older state must not come back")
	require.False(t, newTestFollower(1).Accepts(Batch{From: 0, To: 1}), "nothing is known to join")
	require.True(t, newTestFollower(1).Accepts(Batch{To: 4, Whole: true}))
}

func TestPeerThatIsAheadIsNoticed(t *testing.T) {
	follower := known(1, 5)
	require.True(t, follower.Heard(6, 0, t0))
	require.False(t, follower.Heard(4, 0, t0))
	require.True(t, newTestFollower(1).Heard(4, 0, t0))
}

func TestStatementOfAPeerCarriesItsAge(t *testing.T) {
	follower := known(1, 5)
	now := t0.Add(10 * time.Second)
	follower.Heard(5, 700*time.Millisecond, now)
	require.Equal(t, 700*time.Millisecond, follower.Age(now))
	follower.Heard(5, 2*time.Second, now)
	require.Equal(t, 700*time.Millisecond, follower.Age(now), "an older statement changes nothing")
}

// The one that stands by reads nothing while the reader is heard, reads before the others when it is not, and stops when the
// reader is back.
func TestStandbyReadsOnlyWhileTheReaderIsNotHeard(t *testing.T) {
	follower := known(1, 5)
	now := t0
	for ; now.Before(t0.Add(5 * time.Second)); now = now.Add(400 * time.Millisecond) {
		// The oldest statement of a reader: the read was held back, and the statement waited for its turn.
		follower.Heard(5, readWait+readGap, now)
		action, _ := follower.Next(Standby, now.Add(399*time.Millisecond))
		require.Equal(t, Sleep, action)
	}
	lost := now
	action, wait := follower.Next(Standby, lost.Add(standbyAfter))
	require.Equal(t, ReadOn, action)
	require.Equal(t, readWait, wait, "it takes the reader's place")
	require.Less(t, standbyAfter, staleAfter)
	now = lost.Add(standbyAfter + readWait)
	follower.Done(5, 0, lost.Add(standbyAfter), now)
	action, _ = follower.Next(Standby, now)
	require.Equal(t, ReadOn, action, "the reader is still not heard")
	follower.Heard(5, 100*time.Millisecond, now)
	action, _ = follower.Next(Standby, now)
	require.Equal(t, Sleep, action, "the reader is back")
}
