package mtscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// With three probes of hosts of which a quarter is slow, fewer than one request in 1/0.25^3 = 64 finds only slow ones;
// a few more start on a host that becomes slow between the probe and the start.
func TestLightLoadRarelyStartsOnSlowHosts(t *testing.T) {
	compareWithBaseline(t, func(s *simulation) {
		s.addArrivals(0, 20*time.Second, 30)
	}, func(t *testing.T, scheduled, baseline *simulation) {
		isSlow := func(o requestOutcome) bool { return o.onSlowHost }
		require.Less(t, scheduled.ratio(time.Second, 20*time.Second, isSlow), 0.05)
		require.Greater(t, baseline.ratio(time.Second, 20*time.Second, isSlow), 0.15)
		require.Greater(t, scheduled.ratio(time.Second, 20*time.Second, metObjective), 0.95)
	})
}

// In a large pool the reports of some endpoints are always a few tens of milliseconds old, in which one host in ten or
// so becomes slow. Requests that take hundreds of milliseconds must not be assigned by such reports while a probe takes
// two.
func TestLongRequestsInLargePoolUseFreshReports(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			sim := newSimulation(200, 6, seed, false)
			sim.addArrivals(0, 20*time.Second, 250)
			sim.run()
			slowRatio := sim.ratio(2*time.Second, 20*time.Second, func(o requestOutcome) bool { return o.onSlowHost })
			require.Less(t, slowRatio, 0.01)
			require.Less(t, float64(sim.probes), 3*float64(len(sim.outcomes)),
				"at most one round of probes for each request")
		})
	}
}

// The pool can serve some 110 requests per second; at half of that nearly all requests must meet their objective.
func TestHalfLoadMeetsObjective(t *testing.T) {
	compareWithBaseline(t, func(s *simulation) {
		s.addArrivals(0, 20*time.Second, 55)
	}, func(t *testing.T, scheduled, baseline *simulation) {
		ratio := scheduled.ratio(2*time.Second, 20*time.Second, metObjective)
		require.Greater(t, ratio, 0.9)
		require.Greater(t, ratio, baseline.ratio(2*time.Second, 20*time.Second, metObjective)+0.1)
	})
}

// A burst of twice the load that the pool can serve must not leave a backlog that delays all later requests.
func TestBurstLeavesNoBacklog(t *testing.T) {
	compareWithBaseline(t, func(s *simulation) {
		s.retries = true
		s.addArrivals(0, 4*time.Second, 50)
		s.addArrivals(4*time.Second, 3*time.Second, 220)
		s.addArrivals(7*time.Second, 6*time.Second, 50)
	}, func(t *testing.T, scheduled, baseline *simulation) {
		during := scheduled.ratio(4*time.Second, 7*time.Second, metObjective)
		require.Greater(t, during, baseline.ratio(4*time.Second, 7*time.Second, metObjective)+0.1)
		// Callers that retry may keep the pool busy for as long as they wait.
		after := scheduled.ratio(7*time.Second+simDeadline, 13*time.Second, metObjective)
		require.Greater(t, after, 0.85)
	})
}

// Some 1.1 to 1.5 times as many requests arrive as the pool can serve in time. A request that is admitted is promised its
// objective: if the mean of the expected wait is what it has time for, every other one is late, and has taken a slot in
// which another one could have been in time.
func TestAdmittedRequestsMeetObjectiveUnderOverload(t *testing.T) {
	for _, rate := range []float64{75, 90} {
		for seed := uint64(1); seed <= 5; seed++ {
			t.Run(fmt.Sprintf("rate%v seed%d", rate, seed), func(t *testing.T) {
				sim := newSimulation(14, 2, seed, false)
				sim.processingTime = 160 * time.Millisecond
				sim.objective = 400 * time.Millisecond
				sim.addArrivals(0, 20*time.Second, rate)
				sim.run()
				met := sim.ratio(3*time.Second, 18*time.Second, metObjective)
				served := sim.ratio(3*time.Second, 18*time.Second, func(o requestOutcome) bool { return o.served })
				require.Greater(t, met, 0.9*served)
				require.Greater(t, met, 0.6)
			})
		}
	}
}

// Two endpoints of five run on hosts that stay twelve times slower, and the load is half of what the others can serve.
// Compared with the mean of the hosts, a host that is five times slower for a moment would count as good.
func TestHostsThatStaySlowDoNotMakeOthersLookGood(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			sim := newSimulation(15, 2, seed, false)
			sim.processingTime = 160 * time.Millisecond
			sim.objective = 400 * time.Millisecond
			sim.deadline = 2 * time.Second
			for i, endpoint := range sim.scheduler.Endpoints() {
				if i%5 < 2 {
					sim.hosts[endpoint.ID].alwaysSlow = 12
				}
			}
			sim.addArrivals(0, 20*time.Second, 40)
			sim.run()
			require.Greater(t, sim.ratio(3*time.Second, 18*time.Second, metObjective), 0.9)
		})
	}
}

// Callers that retry after a rejection are late already, and must not take the slots of requests that can meet their
// objective.
func TestRetriesDoNotDisplaceNewRequests(t *testing.T) {
	compareWithBaseline(t, func(s *simulation) {
		s.retries = true
		s.addArrivals(0, 20*time.Second, 130)
	}, func(t *testing.T, scheduled, baseline *simulation) {
		ratio := scheduled.ratio(3*time.Second, 18*time.Second, metObjective)
		require.Greater(t, ratio, 0.4)
		require.Greater(t, ratio, baseline.ratio(3*time.Second, 18*time.Second, metObjective)+0.2)
	})
}

func TestProbesStayWithinProbeBudget(t *testing.T) {
	const probesPerSecond = 60
	compareWithBaseline(t, func(s *simulation) {
		s.addArrivals(0, 20*time.Second, 130)
	}, func(t *testing.T, scheduled, _ *simulation) {
		require.Less(t, float64(scheduled.probes)/20/14, float64(probesPerSecond)/2, "two instances share the budget")
	})
}

// newStoppingSimulation returns a pool whose endpoints stop processing at the deadline, which is 2.5 times the
// objective.
func newStoppingSimulation(seed uint64, processingTime time.Duration) *simulation {
	sim := newSimulation(17, 2, seed, false)
	sim.processingTime = processingTime
	sim.objective = 400 * time.Millisecond
	sim.deadline = time.Second
	sim.stopsAtDeadline = true
	return sim
}

// Hosts are slow for a quarter of the time, some 1.6 times as many requests arrive as the pool can serve, and the
// deadline of the route is 2.5 times its objective. A request that is sent although the estimate is above its time left
// holds a slot that another request needs.
func TestRequestsPredictedToFailAreNotSent(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			sim := newStoppingSimulation(seed, 160*time.Millisecond)
			sim.retries = true
			sim.addArrivals(0, 20*time.Second, 160)
			sim.run()
			isServed := func(o requestOutcome) bool { return o.served }
			t.Logf("met objective %.3f, late %.3f, %d requests sent, %d predicted to fail",
				sim.ratio(2*time.Second, 20*time.Second, metObjective),
				sim.ratio(2*time.Second, 20*time.Second, isServed)-
					sim.ratio(2*time.Second, 20*time.Second, metObjective),
				sim.sent, sim.predictedFailures)
			require.Less(t, float64(sim.predictedFailures), 0.003*float64(sim.sent))
		})
	}
}

// Requests took five times as long for a while, longer than the deadline of the route. The estimate from that time must
// not reject callers for good once the endpoints are as fast as before.
func TestHighEstimateIsCorrected(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			sim := newStoppingSimulation(seed, 800*time.Millisecond)
			sim.addArrivals(0, 10*time.Second, 20)
			sim.schedule(5*time.Second, func() { sim.processingTime = 160 * time.Millisecond })
			sim.run()
			isServed := func(o requestOutcome) bool { return o.served }
			require.Greater(t, sim.ratio(8*time.Second, 10*time.Second, isServed), 0.9)
		})
	}
}

// serveWithTimeLeft sends requests of a route with an objective of 10 s and less time left, one after the other, to one
// idle endpoint, and returns the number of those that are served.
func serveWithTimeLeft(scheduler *Scheduler, endpoint *Endpoint, route string, timeLeft time.Duration, from time.Time) int {
	const (
		requests     = 25
		interval     = 100 * time.Millisecond
		objective    = 10 * time.Second
		responseTime = time.Millisecond
	)
	served := 0
	for n := range requests {
		now := from.Add(time.Duration(n) * interval)
		request := &Request{
			ID:        uint64(n),
			Route:     route,
			ArrivedAt: now,
			Objective: now.Add(objective),
			Deadline:  now.Add(timeLeft),
		}
		scheduler.RecordReport(endpoint, LoadReport{Slots: 4, HostSlowdown: 1}, now)
		if scheduler.Enqueue(request, now) != nil {
			continue
		}
		assignments := scheduler.Schedule(now).Assignments
		if len(assignments) == 0 {
			scheduler.Cancel(request.ID)
			continue
		}
		served++
		scheduler.Complete(assignments[0], route, AttemptResult{
			Verdict:      Served,
			ResponseTime: responseTime,
		}, now.Add(responseTime))
	}
	return served
}

// The load pattern: an instance has just started, or a configuration brings a new route. Callers have less time left than
// the initial guess of a long objective, but the endpoint is idle and fast.
func TestInitialGuessRefusesNobody(t *testing.T) {
	for _, timeLeft := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond} {
		endpoint := newEndpoint("one", 4)
		scheduler := newTestScheduler(endpoint)
		require.Equal(t, 25, serveWithTimeLeft(scheduler, endpoint, "first", timeLeft, t0), "an instance that starts, %s", timeLeft)
		require.Equal(t, 25, serveWithTimeLeft(scheduler, endpoint, "new", timeLeft, t0.Add(time.Minute)), "a new route, %s", timeLeft)
	}
}
