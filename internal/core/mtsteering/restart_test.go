package mtsteering

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrate"
)

const (
	// simulationStep is the time between two steps of the simulation.
	simulationStep = 100 * time.Millisecond
	// rateUpdateInterval is the time between two updates of the request rate that an instance announces.
	rateUpdateInterval = 400 * time.Millisecond
	// addressTTL is how long callers cache the addresses of receivers.
	addressTTL = 1500 * time.Millisecond
)

// newMixedFleet returns two high-capacity instances in each of four data centres and low-capacity instances besides.
func newMixedFleet() []Candidate {
	candidates := newCandidates(141)
	for i := range candidates {
		candidates[i].Centre = string(rune('a' + i%4))
		candidates[i].Cores, candidates[i].RequestRate = 0.16, 0
		if i < 8 {
			candidates[i].Cores = 0.8
		}
	}
	return candidates
}

// maxCPUFractions simulates a load on a fleet that has just started and returns, for each step, the largest fraction of
// an instance's processor that requests take.
func maxCPUFractions(
	duration time.Duration, load func(at time.Duration) float64, selectReceivers func([]Candidate) []Candidate,
) []float64 {
	candidates := newMixedFleet()
	rates := map[string]*mtrate.Rate{}
	start := time.Unix(1000, 0)
	selections := [][]Candidate{selectReceivers(candidates)}
	var fractions []float64
	for at := time.Duration(0); at < duration; at += simulationStep {
		now := start.Add(at)
		// Callers received their addresses at some time within the last addressTTL.
		cached := selections[max(0, len(selections)-int(addressTTL/simulationStep)):]
		arrivals := map[string]float64{}
		largest := 0.0
		for _, receivers := range cached {
			for _, receiver := range receivers {
				arrivals[receiver.Name] += load(at) / float64(len(cached)) / float64(len(receivers))
				largest = max(largest, arrivals[receiver.Name]*requestCoreSeconds/receiver.Cores)
			}
		}
		fractions = append(fractions, largest)
		for name, perSecond := range arrivals {
			if rates[name] == nil {
				rates[name] = &mtrate.Rate{}
			}
			rates[name].Add(perSecond*simulationStep.Seconds(), now)
		}
		if at%rateUpdateInterval == 0 {
			for i := range candidates {
				if rate := rates[candidates[i].Name]; rate != nil {
					candidates[i].RequestRate = rate.PerSecond(now)
				}
			}
		}
		selections = append(selections, selectReceivers(candidates))
	}
	return fractions
}

// Load pattern: 800 requests a second over a fleet that restarts. Callers that waited retry together, which doubles the
// rate for two seconds, and a burst of twice the load follows. Requests must leave half of the processor to new
// connections and probes at all times, and three quarters while the load is steady.
func TestRestartAndBurstLeaveProcessorTime(t *testing.T) {
	load := func(at time.Duration) float64 {
		if at < 2*time.Second || at >= 8*time.Second && at < 12*time.Second {
			return 1600
		}
		return 800
	}
	naive := maxCPUFractions(16*time.Second, load, func(candidates []Candidate) []Candidate {
		return SelectReceivers(candidates)[:minReceivers]
	})
	require.Greater(t, naive[0], 0.5)
	for i, fraction := range maxCPUFractions(16*time.Second, load, SelectReceivers) {
		require.LessOrEqual(t, fraction, 0.5, fmt.Sprint("at ", time.Duration(i)*simulationStep))
	}
	steady := maxCPUFractions(20*time.Second, func(time.Duration) float64 { return 800 }, SelectReceivers)
	require.LessOrEqual(t, steady[len(steady)-1], maxCPUFraction)
}
