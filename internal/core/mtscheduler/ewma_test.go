package mtscheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInitialGuessIsRemovedFromTheMean(t *testing.T) {
	mean := ewma{
		value:           1000,
		initialized:     true,
		hasInitialGuess: true,
		initialGuess:    1000,
		guessSamples:    3,
		weight:          0.05,
	}
	for sample, expected := range []float64{500.5, 1003.0 / 3, 2, 2.4} {
		mean.add(float64(sample + 1))
		require.InDelta(t, expected, mean.value, 1e-9, "after %d samples", sample+1)
	}
}
