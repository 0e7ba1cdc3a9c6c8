package mtclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestClockWithoutStepReturnsZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := &StepDetector{}
		require.Zero(t, steps.Read(time.Now()))
		for range 100 {
			time.Sleep(time.Second)
			require.Zero(t, steps.Read(time.Now()))
		}
	})
}

func TestStepIsDifferenceOfWallAndMonotonicClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -3 * time.Second, 300 * time.Millisecond} {
		last := time.Now()
		now := last.Add(time.Second)
		require.Equal(t, step, stepBetween(now.Add(step).Round(0).Sub(last.Round(0)), now.Sub(last)))
	}
	require.Zero(t, stepBetween(time.Second+minStep-1, time.Second))
}
