package mtrate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// play counts events at the rate of each second in turn and returns the rate after each.
func play(perSecond ...int) []float64 {
	var rate Rate
	now := time.Unix(1000, 0)
	rate.Add(0, now)
	var seen []float64
	for _, events := range perSecond {
		for range events {
			rate.Add(1, now)
		}
		now = now.Add(time.Second)
		seen = append(seen, rate.PerSecond(now))
	}
	return seen
}

// After a restart of all the first second brings the whole load, and callers that come back besides.
func TestRateRisesAtOnce(t *testing.T) {
	require.Equal(t, []float64{800}, play(800))
	require.Equal(t, []float64{400, 900}, play(400, 900))
}

func TestRateFallsByHalfASecond(t *testing.T) {
	require.Equal(t, []float64{800, 400, 200}, play(800, 0, 0))
}

func TestRateOfALongPauseIsItsMean(t *testing.T) {
	var rate Rate
	start := time.Unix(1000, 0)
	rate.Add(300, start)
	require.InDelta(t, 100, rate.PerSecond(start.Add(3*time.Second)), 1e-9)
}
