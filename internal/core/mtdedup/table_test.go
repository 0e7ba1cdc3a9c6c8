package mtdedup_test

import (
	"crypto/sha256"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtdedup"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Random sequences of operations are compared with a model that never forgets a key. The table must never let a key run
// twice, nor report a key that ran as not run, whatever expires or is swept in between.
func TestKeyNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := mtdedup.NewTable(
			mtdedup.WithLimits(4, 3), mtdedup.WithTicketTTL(10*time.Second), mtdedup.WithRetention(2*time.Second))
		ran := map[string]bool{}
		running := map[string]bool{}
		closed := map[string]bool{}
		now := start
		expiry := map[string]time.Time{}
		drawKey := func(t *rapid.T) string {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
			if expiry[name].IsZero() {
				expiry[name] = now.Add(10 * time.Second)
			}
			return name
		}
		drawDigest := func(t *rapid.T) [sha256.Size]byte {
			return sha256.Sum256([]byte(rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "body")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				name := drawKey(t)
				outcome, err := table.Begin("team", name, drawDigest(t), expiry[name], now)
				if err == nil {
					require.False(t, ran[name], "key %s ran twice", name)
					require.False(t, closed[name], "key %s was reported as not run before it ran", name)
					ran[name] = true
					running[name] = true
					return
				}
				if outcome == mtoutcome.Answered {
					require.True(t, ran[name])
				}
			},
			"end": func(t *rapid.T) {
				name := drawKey(t)
				if running[name] {
					table.End("team", name, mtoutcome.Answered)
					delete(running, name)
				}
			},
			"settle": func(t *rapid.T) {
				name := drawKey(t)
				outcome, _ := table.Settle("team", name, expiry[name], now)
				if outcome == mtoutcome.NotRun {
					require.False(t, ran[name])
					closed[name] = true
				}
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
				table.Sweep(now)
			},
		})
		now = now.Add(time.Minute)
		table.Sweep(now)
		for name := range running {
			table.End("team", name, mtoutcome.Unknown)
		}
		for range 3 {
			now = now.Add(time.Minute)
			table.Sweep(now)
		}
		require.Zero(t, table.Len(), "every key must be removed after its expiry")
	})
}

func TestKeyWhoseTicketExpiresTooLateIsRefused(t *testing.T) {
	table := mtdedup.NewTable(mtdedup.WithTicketTTL(time.Minute))
	outcome, err := table.Begin("team", "k", [32]byte{}, start.Add(time.Hour), start)
	require.Error(t, err)
	require.Equal(t, mtoutcome.NotRun, outcome)
	require.Zero(t, table.Len())
}
