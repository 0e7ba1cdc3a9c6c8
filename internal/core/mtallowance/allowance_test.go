package mtallowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

const (
	testRatio  = 0.2
	testWindow = 10 * time.Second
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func countBetween(events []time.Time, from, to time.Time) float64 {
	count := 0.0
	for _, event := range events {
		if !event.Before(from) && event.Before(to) {
			count++
		}
	}
	return count
}

// One instance, whose share of the slack changes at any time, keeps the bound at the head of allowance.go in each window.
func TestExtraAttemptsInEachWindowAreEarned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxSaved, maxAccrued = 10, 8
		allowance := New(testRatio, testWindow, 0)
		allowance.SetSlack(maxSaved, maxAccrued, t0)
		var requests, extra []time.Time
		now := t0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			allowance.SetSlack(float64(rapid.IntRange(0, maxSaved).Draw(t, "saved")), maxAccrued, now)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				allowance.RecordRequest(now)
				requests = append(requests, now)
				continue
			}
			for allowance.Take(now) {
				extra = append(extra, now)
			}
		}
		for _, begin := range extra {
			end := begin.Add(testWindow)
			allowed := testRatio*earnedPart*countBetween(requests, begin, end) +
				testRatio*savedPart*countBetween(requests, begin.Add(-testWindow*11/10), begin) + maxSaved + maxAccrued
			require.LessOrEqual(t, countBetween(extra, begin, end), allowed+1)
		}
	})
}

func TestNewAllowanceAllowsNothing(t *testing.T) {
	allowance := New(testRatio, testWindow, 0)
	allowance.SetSlack(10, 10, t0)
	require.False(t, allowance.Take(t0))
	require.Zero(t, allowance.Saved(t0))
}

func TestSlackAccruesUpToWhatMayBeSaved(t *testing.T) {
	allowance := New(testRatio, testWindow, 0)
	for now := t0; now.Before(t0.Add(time.Minute)); now = now.Add(time.Second) {
		allowance.SetSlack(3, 10, now)
		require.InDelta(t, min(3, now.Sub(t0).Seconds()), allowance.Saved(now), 1e-9)
	}
}

func TestLargerShareGrantsNoAttempts(t *testing.T) {
	allowance := New(testRatio, testWindow, 0)
	allowance.SetSlack(1, 10, t0)
	now := t0.Add(time.Second)
	allowance.SetSlack(20, 10, now)
	require.InDelta(t, 1, allowance.Saved(now), 1e-9)
	allowance.SetSlack(0.5, 10, now)
	require.InDelta(t, 0.5, allowance.Saved(now), 1e-9)
}

// Many instances with small shares make as many attempts together as their shares add up to.
func TestSmallSharesAllowAttemptsInProportion(t *testing.T) {
	allowed := 0
	const instances = 1000
	for i := range instances {
		allowance := New(testRatio, testWindow, (float64(i)+0.5)/instances)
		allowance.SetSlack(0.25, 0.25, t0)
		now := t0.Add(testWindow)
		for at := t0; at.Before(now); at = at.Add(time.Second) {
			allowance.SetSlack(0.25, 0.25, at)
		}
		for range 3 {
			if allowance.Take(now) {
				allowed++
			}
		}
	}
	require.InDelta(t, instances/4, allowed, 1)
}

// After a pause of the process, others may have the share.
func TestPausedInstanceHasNoAttemptsLeft(t *testing.T) {
	allowance := New(testRatio, testWindow, 0)
	for now := t0; now.Before(t0.Add(testWindow)); now = now.Add(time.Second) {
		allowance.SetSlack(3, 10, now)
	}
	now := t0.Add(2 * testWindow)
	require.False(t, allowance.Take(now))
	allowance.SetSlack(3, 10, now)
	require.Zero(t, allowance.Saved(now))
}

// A changed setting renewed the budget.
func TestChangedRatioGrantsNoAttempts(t *testing.T) {
	allowance := New(testRatio, testWindow, 0)
	allowance.SetSlack(3, 10, t0)
	for range 50 {
		allowance.RecordRequest(t0)
	}
	for allowance.Take(t0) {
		continue
	}
	allowance.SetRatio(2*testRatio, testWindow, t0)
	require.Zero(t, allowance.Saved(t0))
	allowance.SetRatio(testRatio, 2*testWindow, t0)
	require.Zero(t, allowance.Saved(t0))
}
