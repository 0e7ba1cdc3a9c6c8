package mtbandwidth

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func TestUnknownLinkLimitsNothing(t *testing.T) {
	for _, megabits := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		limiter := NewLimiter(megabits)
		limiter.Reserve(1e12, t0)
		limiter.Settle(0, 1e12, t0)
		require.Zero(t, limiter.Wait(1e12, 1e12, true, t0), megabits)
	}
}

// play asks a link for responses of a size as soon as it allows, and returns the bytes in ten seconds.
func play(limiter *Limiter, responseBytes float64) float64 {
	sent := 0.0
	end := t0.Add(10 * time.Second)
	for now := t0; now.Before(end); {
		if wait := limiter.Wait(responseBytes, 0, false, now); wait > 0 {
			now = now.Add(wait)
			continue
		}
		limiter.Reserve(responseBytes, now)
		limiter.Settle(responseBytes, responseBytes, now)
		sent += responseBytes
	}
	return sent
}

func TestResponsesStayWithinLink(t *testing.T) {
	const megabits, seconds = 10, 10
	link := float64(megabits * bytesPerMegabit * seconds)
	limiter := NewLimiter(megabits)
	sent := play(limiter, 5000)
	require.Less(t, sent, maxUsableRatio*link+2*limiter.burst()+5000)
	require.Greater(t, sent, 0.9*maxUsableRatio*link)
}

// A response of 200 KB takes 160 ms, so responses would wait too long if the link were used to its end.
func TestLargeResponsesLeaveMoreOfNarrowLinkUnused(t *testing.T) {
	const seconds, responseBytes = 10, 200e3
	narrow, wide := NewLimiter(10), NewLimiter(1000)
	sent := play(narrow, responseBytes)
	require.Less(t, sent, 0.5*10*bytesPerMegabit*seconds)
	require.GreaterOrEqual(t, sent, minUsableRatio*10*bytesPerMegabit*seconds)
	require.Greater(t, play(wide, responseBytes), 0.8*1000*bytesPerMegabit*seconds)
}

func TestSmallResponsesDoNotWaitForLargeOne(t *testing.T) {
	limiter := NewLimiter(10)
	limiter.Reserve(limiter.burst()+50e3, t0)
	require.Positive(t, limiter.Wait(200e3, 0, false, t0))
	require.Zero(t, limiter.Wait(1000, 0, false, t0))
	limiter.Reserve(limiter.burst(), t0)
	require.Positive(t, limiter.Wait(1000, 0, false, t0), "the link is asked for too much")
}

func TestReservationIsCorrectedByResponse(t *testing.T) {
	const large = 1e6
	limiter := NewLimiter(10)
	limiter.Reserve(large, t0)
	require.Positive(t, limiter.Wait(large, 0, false, t0))
	limiter.Settle(large, 0, t0)
	require.Zero(t, limiter.Wait(large, 0, false, t0))
	limiter.Settle(0, large, t0)
	wait := limiter.Wait(large, 0, false, t0)
	require.Positive(t, wait)
	now := t0.Add(wait)
	require.Zero(t, limiter.Wait(large, 0, false, now))
	require.Positive(t, limiter.Wait(large, 0, true, now), "late requests wait until more is free")
	require.Positive(t, limiter.Wait(large, 5000, false, now), "others are ahead")
}

func TestChangedLinkIsInForceAtOnce(t *testing.T) {
	limiter := NewLimiter(0)
	limiter.SetLink(10)
	limiter.Reserve(1e6, t0)
	require.Positive(t, limiter.Wait(0, 0, false, t0))
	limiter.SetLink(0)
	require.Zero(t, limiter.Wait(0, 0, false, t0))
}

func TestClockThatStepsBackGivesNothing(t *testing.T) {
	limiter := NewLimiter(10)
	limiter.Reserve(3*limiter.burst(), t0)
	wait := limiter.Wait(0, 0, false, t0)
	require.Positive(t, wait)
	require.Equal(t, wait, limiter.Wait(0, 0, false, t0.Add(-time.Hour)))
	require.Equal(t, wait, limiter.Wait(0, 0, false, t0))
}
