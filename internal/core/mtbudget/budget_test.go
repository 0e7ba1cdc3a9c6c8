package mtbudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtbudget"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

// Whenever an extra attempt is made, those of the last 10 s are at most a tenth of the calls that the window counts,
// which covers one slot of 1 s more than the 10 s. A window that starts between a call and its retry contains only the
// retry, so no budget can bound every window that an observer may choose.
func TestExtraAttemptsStayWithinATenth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := mtbudget.NewBudget()
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var calls, extra []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				budget.RecordCall(now)
				calls = append(calls, now)
				continue
			}
			if budget.TryExtraAttempt(now) {
				extra = append(extra, now)
				require.LessOrEqual(t, 10*count(extra, now, 10*time.Second), count(calls, now, 11*time.Second))
			}
		}
	})
}

func count(events []time.Time, now time.Time, window time.Duration) int {
	sum := 0
	for _, event := range events {
		if now.Sub(event) < window {
			sum++
		}
	}
	return sum
}

func TestNoExtraAttemptWithoutCalls(t *testing.T) {
	require.False(t, mtbudget.NewBudget().TryExtraAttempt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)))
}
