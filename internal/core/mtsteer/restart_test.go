package mtsteer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrate"
)

const (
	// replayStep is the time between two moments of the replay, and replayRow that between two rows of an instance.
	replayStep = 100 * time.Millisecond
	replayRow  = 400 * time.Millisecond
	// replayHold is how long callers keep the addresses that they were given.
	replayHold = 1500 * time.Millisecond
)

// grownFleet has two strong instances in each of four data centres and weak ones besides.
func grownFleet() []Candidate {
	candidates := fleet(141)
	for i := range candidates {
		candidates[i].Centre = string(rune('a' + i%4))
		candidates[i].Capacity, candidates[i].Rate = 0.16, 0
		if i < 8 {
			candidates[i].Capacity = 0.8
		}
	}
	return candidates
}

// busiest replays a load on a fleet that has just started and returns the largest part of an instance's processor that requests take
// in each step.
func busiest(span time.Duration, load func(at time.Duration) float64, choose func([]Candidate) []Candidate) []float64 {
	candidates := grownFleet()
	rates := map[string]*mtrate.Rate{}
	start := time.Unix(1000, 0)
	named := [][]Candidate{choose(candidates)}
	var seen []float64
	for at := time.Duration(0); at < span; at += replayStep {
		now := start.Add(at)
		// Callers got their addresses at some moment of the last hold.
		held := named[max(0, len(named)-int(replayHold/replayStep)):]
		arrivals := map[string]float64{}
		most := 0.0
		for _, crew := range held {
			for _, member := range crew {
				arrivals[member.Name] += load(at) / float64(len(held)) / float64(len(crew))
				most = max(most, arrivals[member.Name]*callCost/member.Capacity)
			}
		}
		seen = append(seen, most)
		for name, second := range arrivals {
			if rates[name] == nil {
				rates[name] = &mtrate.Rate{}
			}
			rates[name].Add(second*replayStep.Seconds(), now)
		}
		if at%replayRow == 0 {
			for i := range candidates {
				if rate := rates[candidates[i].Name]; rate != nil {
					candidates[i].Rate = rate.PerSecond(now)
				}
			}
		}
		named = append(named, choose(candidates))
	}
	return seen
}

// Load pattern: 800 requests a second over a fleet that restarts. Callers who waited come back together, twice as many for two
// seconds, and a burst of twice the load follows. Requests must leave half of the processor to new connections and looks at every
// moment, and three quarters while the load is steady.
func TestRestartAndBurstLeaveProcessorTime(t *testing.T) {
	load := func(at time.Duration) float64 {
		if at < 2*time.Second || at >= 8*time.Second && at < 12*time.Second {
			return 1600
		}
		return 800
	}
	naive := busiest(16*time.Second, load, func(candidates []Candidate) []Candidate {
		return Crew(candidates)[:crewSmallest]
	})
	require.Greater(t, naive[0], 0.5)
	for i, part := range busiest(16*time.Second, load, Crew) {
		require.LessOrEqual(t, part, 0.5, fmt.Sprint("at ", time.Duration(i)*replayStep))
	}
	steady := busiest(20*time.Second, func(time.Duration) float64 { return 800 }, Crew)
	require.LessOrEqual(t, steady[len(steady)-1], busyShare)
}
