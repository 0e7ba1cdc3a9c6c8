package mtwindow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtwindow"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

// An event may count for up to one slot longer than the window, but never leaves it too early.
func TestEventsNeverLeaveWindowTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := mtwindow.NewWindow(10 * time.Second)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var events []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "add") {
				window.Add(1, now)
				events = append(events, now)
			}
			minSum, maxSum := 0.0, 0.0
			for _, event := range events {
				if now.Sub(event) < 10*time.Second {
					minSum++
				}
				if now.Sub(event) <= 11*time.Second {
					maxSum++
				}
			}
			require.GreaterOrEqual(t, window.Sum(now), minSum)
			require.LessOrEqual(t, window.Sum(now), maxSum)
		}
	})
}
