package mtstarvation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance that runs five times slower falls behind its load, so that its timers fire after the work queued before
// them.
func TestCPUShortageIsDetectedWithinASecond(t *testing.T) {
	now := time.Unix(1000, 0)
	detector := Detector{}
	for range 100 {
		due := now.Add(250 * time.Millisecond)
		now = due.Add(4 * time.Millisecond)
		detector.RecordTimer(due, now)
		require.False(t, detector.IsStarved(now), "a few milliseconds of delay are normal")
	}
	start := now
	for !detector.IsStarved(now) {
		due := now.Add(250 * time.Millisecond)
		now = due.Add(60 * time.Millisecond)
		detector.RecordTimer(due, now)
		require.Less(t, now.Sub(start), time.Second)
	}
	require.True(t, detector.IsStarved(now.Add(recoveryTime-1)))
	require.False(t, detector.IsStarved(now.Add(recoveryTime)))
}
