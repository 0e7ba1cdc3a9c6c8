package mtscheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// An entry with a number of slots far beyond any endpoint kept the scheduler computing without end.
func TestNumberOfSlotsDoesNotBoundComputation(t *testing.T) {
	curve := newConcurrencyCurve()
	require.LessOrEqual(t, curve.optimalConcurrency(math.MaxInt), maxUsedSlots)
	require.Equal(t, 3, curve.optimalConcurrency(4))
	curve.addSample(math.MaxInt, 1)
	require.LessOrEqual(t, len(curve.slowdowns), maxUsedSlots+1)
}
