package mtplacer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With three looks at hosts of which a quarter is slow, fewer than one request in 1/0.25^3 = 64 finds only slow ones;
// a few more start on a host that turned slow between the look and the start.
func TestRequestsOnACalmDaySeldomStartOnSlowHosts(t *testing.T) {
	both(t, func(s *site) {
		s.arrive(0, 20*time.Second, 30)
	}, func(t *testing.T, placer, naive *site) {
		isSlow := func(o outcome) bool { return o.slow }
		require.Less(t, placer.share(time.Second, 20*time.Second, isSlow), 0.05)
		require.Greater(t, naive.share(time.Second, 20*time.Second, isSlow), 0.15)
		require.Greater(t, placer.share(time.Second, 20*time.Second, isOnTime), 0.95)
	})
}

// In a large pool the figures of some endpoint are always a few tens of milliseconds old, in which one host in ten or so has
// become slow. Work that takes hundreds of milliseconds must not be placed on them while a look takes two.
func TestLongWorkInALargePoolStartsOnFreshFigures(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			pool := newSite(200, 6, seed, false)
			pool.arrive(0, 20*time.Second, 250)
			pool.play()
			slow := pool.share(2*time.Second, 20*time.Second, func(o outcome) bool { return o.slow })
			require.Less(t, slow, 0.01)
			require.Less(t, float64(pool.looks), 3*float64(len(pool.tally)), "at most a round of looks for each request")
		})
	}
}

// The pool carries some 110 requests a second; at half of that a request should hardly ever be late.
func TestHalfLoadIsServedOnTime(t *testing.T) {
	both(t, func(s *site) {
		s.arrive(0, 20*time.Second, 55)
	}, func(t *testing.T, placer, naive *site) {
		onTime := placer.share(2*time.Second, 20*time.Second, isOnTime)
		require.Greater(t, onTime, 0.9)
		require.Greater(t, onTime, naive.share(2*time.Second, 20*time.Second, isOnTime)+0.1)
	})
}

// A burst of twice what the pool carries must not leave a backlog that makes everybody late who comes after it.
func TestBurstLeavesNoBacklog(t *testing.T) {
	both(t, func(s *site) {
		s.retries = true
		s.arrive(0, 4*time.Second, 50)
		s.arrive(4*time.Second, 3*time.Second, 220)
		s.arrive(7*time.Second, 6*time.Second, 50)
	}, func(t *testing.T, placer, naive *site) {
		during := placer.share(4*time.Second, 7*time.Second, isOnTime)
		require.Greater(t, during, naive.share(4*time.Second, 7*time.Second, isOnTime)+0.1)
		// Callers that come back may keep the pool busy for as long as they wait.
		after := placer.share(7*time.Second+siteDeadline, 13*time.Second, isOnTime)
		require.Greater(t, after, 0.85)
	})
}

// Callers that come back after a refusal are late already; they must not take the slots of those who can be on time.
func TestReturningCallersDoNotDisplaceNewcomers(t *testing.T) {
	both(t, func(s *site) {
		s.retries = true
		s.arrive(0, 20*time.Second, 130)
	}, func(t *testing.T, placer, naive *site) {
		onTime := placer.share(3*time.Second, 18*time.Second, isOnTime)
		require.Greater(t, onTime, 0.4)
		require.Greater(t, onTime, naive.share(3*time.Second, 18*time.Second, isOnTime)+0.2)
	})
}

func TestUsersBudgetOfLooksIsKept(t *testing.T) {
	const probesPerSecond = 60
	both(t, func(s *site) {
		s.arrive(0, 20*time.Second, 130)
	}, func(t *testing.T, placer, _ *site) {
		require.Less(t, float64(placer.looks)/20/14, float64(probesPerSecond)/2, "two instances share the budget")
	})
}

// newStoppingSite returns a pool whose endpoints stop work at the deadline, which is 2.5 times the objective.
func newStoppingSite(seed uint64, work time.Duration) *site {
	pool := newSite(17, 2, seed, false)
	pool.work = work
	pool.objective = 400 * time.Millisecond
	pool.deadline = time.Second
	pool.stops = true
	return pool
}

// Hosts are slow for a quarter of the time, some 1.6 times as many requests come as the pool carries, and the time that a route
// allows is 2.5 times its objective. A send that the estimate knows to fail holds a slot that another request needs.
func TestNothingIsSentThatIsKnownToFail(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			pool := newStoppingSite(seed, 160*time.Millisecond)
			pool.retries = true
			pool.arrive(0, 20*time.Second, 160)
			pool.play()
			isServed := func(o outcome) bool { return o.served }
			t.Logf("on time %.3f, late %.3f, sends %d, known to fail %d", pool.share(2*time.Second, 20*time.Second, isOnTime),
				pool.share(2*time.Second, 20*time.Second, isServed)-pool.share(2*time.Second, 20*time.Second, isOnTime), pool.sends, pool.doomed)
			require.Less(t, float64(pool.doomed), 0.003*float64(pool.sends))
		})
	}
}

// Work was five times as long for a while, longer than the route allows; the estimate of that time must not turn callers away for
// good once the endpoints are as fast as before.
func TestEstimateThatWasTooHighIsCorrected(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			pool := newStoppingSite(seed, 800*time.Millisecond)
			pool.arrive(0, 10*time.Second, 20)
			pool.at(5*time.Second, func() { pool.work = 160 * time.Millisecond })
			pool.play()
			isServed := func(o outcome) bool { return o.served }
			require.Greater(t, pool.share(8*time.Second, 10*time.Second, isServed), 0.9)
		})
	}
}
