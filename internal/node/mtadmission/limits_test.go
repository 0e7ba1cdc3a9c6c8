package mtadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	limitRate      = 600.0
	simulationStep = 5 * time.Millisecond
	instanceCount  = 18
	rowDelayRounds = 3
)

// cluster simulates entry instances that receive each other's rows one to three gossip rounds late, and counts the
// calls that they are offered and admit in each step.
type cluster struct {
	random       *rand.Rand
	admissions   []*mtadmission.Controller
	alive        []bool
	silentRounds []int
	rowHistory   [][]*peerv1.Row
	admitted     []float64
	offered      []float64
	call         *mtcall.Call
}

func newCluster() *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(7, 7)),
		call: &mtcall.Call{
			Customer: "acme",
			Team: &recordv1.Team{
				Name:  "hosts",
				Limit: &recordv1.Limit{Rate: limitRate},
			},
			Contract: &recordv1.Contract{Customer: "acme"},
		},
	}
	for i := range instanceCount {
		c.admissions = append(c.admissions, mtadmission.NewController())
		c.alive = append(c.alive, true)
		c.silentRounds = append(c.silentRounds, 0)
		c.rowHistory = append(c.rowHistory, []*peerv1.Row{{Instance: fmt.Sprint(i)}})
	}
	return c
}

// run advances the simulation by length and returns the new time; demand is in calls per second and instance.
func (c *cluster) run(now time.Time, length time.Duration, demand func(instance int, now time.Time) float64) time.Time {
	for end := now.Add(length); now.Before(end); now = now.Add(simulationStep) {
		if now.UnixNano()%int64(time.Second) == 0 {
			c.gossipRound(now)
		}
		offered, admitted := 0.0, 0.0
		for i, admission := range c.admissions {
			if !c.alive[i] {
				continue
			}
			for range c.arrivals(demand(i, now) * simulationStep.Seconds()) {
				offered++
				if _, ok := admission.Admit(c.call, now); ok {
					admitted++
					admission.Release(c.call)
				}
			}
		}
		c.offered = append(c.offered, offered)
		c.admitted = append(c.admitted, admitted)
	}
	return now
}

// arrivals draws the number of calls in one step, whose expected value is mean.
func (c *cluster) arrivals(mean float64) int {
	count := int(mean)
	if c.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// gossipRound adjusts the shares of each live instance and publishes its row.
func (c *cluster) gossipRound(now time.Time) {
	for i, admission := range c.admissions {
		if !c.alive[i] {
			c.silentRounds[i]++
			continue
		}
		var others []*peerv1.Row
		for j, rows := range c.rowHistory {
			// After three silent rounds an instance is suspected, and the others can use its shares.
			if j != i && c.silentRounds[j] <= 3 {
				others = append(others, rows[max(0, len(rows)-1-c.random.IntN(rowDelayRounds))])
			}
		}
		c.rowHistory[i] = append(c.rowHistory[i], &peerv1.Row{
			Instance: fmt.Sprint(i),
			Shares:   admission.Adjust(others, time.Second, now),
		})
	}
}

// maxExcessRatio returns the largest excess over the limit in any window of the given length, as a fraction of the
// limit.
func (c *cluster) maxExcessRatio(window time.Duration) float64 {
	windowSteps := int(window / simulationStep)
	maxExcess, sum := 0.0, 0.0
	for i, count := range c.admitted {
		sum += count
		if i >= windowSteps {
			sum -= c.admitted[i-windowSteps]
		}
		maxExcess = max(maxExcess, sum/(limitRate*window.Seconds())-1)
	}
	return maxExcess
}

// unusedRatio returns the fraction of the calls that a central counter would admit and the instances refused.
func (c *cluster) unusedRatio() float64 {
	stepsPerSecond := int(time.Second / simulationStep)
	admissible, admittedWithinLimit := 0.0, 0.0
	for i := 0; i+stepsPerSecond <= len(c.offered); i += stepsPerSecond {
		offered, admitted := 0.0, 0.0
		for j := range stepsPerSecond {
			offered += c.offered[i+j]
			admitted += c.admitted[i+j]
		}
		admissible += min(offered, limitRate)
		admittedWithinLimit += min(admitted, limitRate)
	}
	return 1 - admittedWithinLimit/admissible
}

// resetCounts drops the recorded counts, so that only later steps are measured.
func (c *cluster) resetCounts() {
	c.admitted = nil
	c.offered = nil
}

var startTime = time.Unix(1_800_000_000, 0)

// The shares of the instances must together admit about as many calls as one central counter, for even and skewed
// demand.
func TestSharedLimitsMatchCentralCounter(t *testing.T) {
	skewed := func(instance int, _ time.Time) float64 { return []float64{500, 300, 100, 50}[min(3, instance)] }
	cases := map[string]func(instance int, now time.Time) float64{
		"even and over the limit":   func(int, time.Time) float64 { return 50 },
		"skewed and over the limit": skewed,
		"three instances with calls": func(instance int, _ time.Time) float64 {
			if instance < 3 {
				return 300
			}
			return 0
		},
		"below the limit": func(instance int, now time.Time) float64 { return skewed(instance, now) * 0.3 },
	}
	for name, demand := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster()
			now := c.run(startTime, 20*time.Second, demand)
			c.resetCounts()
			c.run(now, 30*time.Second, demand)
			t.Logf("excess in 1 s: %.1f%%, unused: %.1f%%", 100*c.maxExcessRatio(time.Second), 100*c.unusedRatio())
			require.LessOrEqual(t, c.maxExcessRatio(time.Second), 0.05)
			require.LessOrEqual(t, c.unusedRatio(), 0.05)
		})
	}
}

// The callers of an instance that dies move to an idle one, which claims a larger share before the share of the dead
// instance is free. The excess must stay bounded, and afterwards at most 5% of the limit may stay
// unused.
func TestLimitExcessIsBoundedWhenCallersOfDeadInstanceMove(t *testing.T) {
	c := newCluster()
	demandOf := func(calledInstances ...int) func(instance int, now time.Time) float64 {
		return func(instance int, _ time.Time) float64 {
			for _, called := range calledInstances {
				if instance == called {
					return 300
				}
			}
			return 0
		}
	}
	now := c.run(startTime, 20*time.Second, demandOf(0, 1, 2))
	c.resetCounts()
	c.alive[2] = false
	now = c.run(now, 10*time.Second, demandOf(0, 1, 3))
	t.Logf("excess in 2 s: %.1f%%, unused: %.1f%%", 100*c.maxExcessRatio(2*time.Second), 100*c.unusedRatio())
	require.LessOrEqual(t, c.maxExcessRatio(2*time.Second), 0.20)
	c.resetCounts()
	c.run(now, 20*time.Second, demandOf(0, 1, 3))
	require.LessOrEqual(t, c.unusedRatio(), 0.05)
}

// After a pause an instance must not use its old shares, because the other instances have taken them over.
func TestPausedInstanceLosesItsShares(t *testing.T) {
	c := newCluster()
	now := c.run(startTime, 20*time.Second, func(int, time.Time) float64 { return 50 })
	paused := c.admissions[0]
	now = now.Add(time.Minute)
	admitted := 0
	for range 1000 {
		if _, ok := paused.Admit(c.call, now); ok {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 1)
}
