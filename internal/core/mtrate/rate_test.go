package mtrate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ratesAfter counts the given numbers of events in successive seconds and returns the rate after each second.
func ratesAfter(perSecond ...int) []float64 {
	var rate Rate
	now := time.Unix(1000, 0)
	rate.Add(0, now)
	var rates []float64
	for _, events := range perSecond {
		for range events {
			rate.Add(1, now)
		}
		now = now.Add(time.Second)
		rates = append(rates, rate.PerSecond(now))
	}
	return rates
}

// After a restart of all instances the first second brings the whole load, and the retries of callers that were
// refused.
func TestRateRisesAtOnce(t *testing.T) {
	require.Equal(t, []float64{800}, ratesAfter(800))
	require.Equal(t, []float64{400, 900}, ratesAfter(400, 900))
}

func TestRateHalvesEachSecondWithoutEvents(t *testing.T) {
	require.Equal(t, []float64{800, 400, 200}, ratesAfter(800, 0, 0))
}

func TestRateAfterLongPeriodIsItsMean(t *testing.T) {
	var rate Rate
	start := time.Unix(1000, 0)
	rate.Add(300, start)
	require.InDelta(t, 100, rate.PerSecond(start.Add(3*time.Second)), 1e-9)
}
