package mtscheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestQuantileFollowsSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimate := quantile{
		value:  1,
		ratio:  0.25,
		weight: 0.02,
	}
	for range 2000 {
		estimate.add(1 + 4*random.Float64())
	}
	require.InDelta(t, 2, estimate.value, 0.4)
	for range 2000 {
		estimate.add(3)
	}
	require.InDelta(t, 3, estimate.value, 0.01, "all samples are equal")
}

// Up to three quarters of the samples may be outliers.
func TestQuantileIgnoresHighSamples(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	estimate := quantile{
		value:  1,
		ratio:  0.25,
		weight: 0.02,
	}
	for range 2000 {
		sample := 1.0
		if random.Float64() < 0.55 {
			sample = 12
		}
		estimate.add(sample)
	}
	require.Less(t, estimate.value, 1.3)
}
