package mtpatience

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitFor adds the times of first attempts of callers whose patience is spread evenly below the longest one.
func waitFor(estimator *Estimator, count int, longest time.Duration, spread float64, random *rand.Rand) (mistaken int) {
	for range count {
		remaining := time.Duration((1 - spread*random.Float64()) * float64(longest))
		if estimator.Elapsed(remaining) > 0 {
			mistaken++
		}
	}
	return mistaken
}

func TestImpatientCallersAreNotTakenForRepeatedRequests(t *testing.T) {
	for _, spread := range []float64{0, 0.05, 0.15} {
		random := rand.New(rand.NewPCG(1, 1))
		mistaken := waitFor(&Estimator{}, 2000, 2*time.Second, spread, random)
		require.LessOrEqual(t, mistaken, 2000/20, "spread %v", spread)
	}
}

func TestRepeatedRequestsAreRecognized(t *testing.T) {
	for _, spread := range []float64{0, 0.15} {
		random := rand.New(rand.NewPCG(1, 1))
		estimator := &Estimator{}
		for range 500 {
			waitFor(estimator, 9, 2*time.Second, spread, random)
			patience := time.Duration((1 - spread*random.Float64()) * float64(2*time.Second))
			elapsed := estimator.Elapsed(patience - 700*time.Millisecond)
			if estimator.count > sampleCount {
				require.InDelta(t, 0.7, elapsed.Seconds(), 0.2, "spread %v", spread)
			}
		}
	}
}

func TestFirstRequestsAreNotJudged(t *testing.T) {
	estimator := &Estimator{}
	estimator.Elapsed(2 * time.Second)
	for range minSamples - 2 {
		require.Zero(t, estimator.Elapsed(time.Millisecond))
	}
}

func TestRangeFollowsANewPatience(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimator := &Estimator{}
	waitFor(estimator, 500, 2*time.Second, 0.1, random)
	waitFor(estimator, sampleCount, time.Second, 0.1, random)
	require.Zero(t, waitFor(estimator, 500, time.Second, 0.1, random))
}
