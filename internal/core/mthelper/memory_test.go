package mthelper

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func newHelpers(count int) []Helper {
	helpers := make([]Helper, count)
	for i := range helpers {
		helpers[i] = Helper{
			Name:     fmt.Sprint("h-", i),
			Capacity: 100,
		}
	}
	return helpers
}

// countServed returns how many requests find one of the 12 among 120 helpers that do not decline.
func countServed(
	requests, maxTries int,
	choose func(helpers []Helper, now time.Time) Helper,
	end func(helper string, declined bool, now time.Time),
) int {
	helpers := newHelpers(120)
	reaching := map[string]bool{}
	for _, helper := range helpers[:12] {
		reaching[helper.Name] = true
	}
	served := 0
	for n := range requests {
		now := t0.Add(time.Duration(n) * 50 * time.Millisecond)
		for range maxTries {
			helper := choose(helpers, now)
			end(helper.Name, !reaching[helper.Name], now)
			if reaching[helper.Name] {
				served++
				break
			}
		}
	}
	return served
}

// Nine of ten instances were cut at the same moment, and their rows do not tell it yet.
func TestHelperIsFoundAmongManyThatDecline(t *testing.T) {
	const requests = 20
	memory, random := NewMemory(), newRandom()
	served := countServed(requests, 12, func(helpers []Helper, now time.Time) Helper {
		var left []Helper
		for _, helper := range helpers {
			if !memory.HasFailed("menu", helper.Name, now) {
				left = append(left, helper)
			}
		}
		return memory.Choose("menu", left, now, random)
	}, func(helper string, declined bool, now time.Time) {
		memory.RecordSent(helper)
		if declined {
			memory.RecordFailed("menu", helper, now)
		} else {
			memory.RecordAnswered("menu", helper, now)
		}
	})
	require.GreaterOrEqual(t, served, requests-2)

	naive := countServed(requests, 4, func(helpers []Helper, _ time.Time) Helper {
		return helpers[random.IntN(len(helpers))]
	}, func(string, bool, time.Time) {})
	require.Less(t, naive, requests*2/3, "chance alone")
}

func TestFailureIsForgotten(t *testing.T) {
	memory := NewMemory()
	memory.RecordSent("h-0")
	memory.RecordFailed("menu", "h-0", t0)
	require.True(t, memory.HasFailed("menu", "h-0", t0.Add(memoryTime-time.Millisecond)))
	require.False(t, memory.HasFailed("menu", "h-0", t0.Add(memoryTime)))
	require.False(t, memory.HasFailed("pay", "h-0", t0), "another service")
	memory.Choose("menu", newHelpers(1), t0.Add(memoryTime), newRandom())
	require.Empty(t, memory.failed["menu"])
	require.Empty(t, memory.pending)
}

// All helpers answer, so those that have not been asked yet are asked as well.
func TestHelpersShareRequestsWhenNoneDeclines(t *testing.T) {
	helpers, memory, random := newHelpers(10), NewMemory(), newRandom()
	counts := map[string]int{}
	for range 1000 {
		helper := memory.Choose("menu", helpers, t0, random)
		memory.RecordSent(helper.Name)
		memory.RecordAnswered("menu", helper.Name, t0)
		counts[helper.Name]++
	}
	require.Len(t, counts, 10)
	for name, count := range counts {
		require.InDelta(t, 100, count, 40, name)
	}
}

func TestSlowHelperGetsFewerRequests(t *testing.T) {
	helpers, memory, random := newHelpers(4), NewMemory(), newRandom()
	slow := 0
	for range 100 {
		helper := memory.Choose("menu", helpers, t0, random)
		memory.RecordSent(helper.Name)
		if helper.Name == "h-0" {
			slow++
			continue
		}
		memory.RecordAnswered("menu", helper.Name, t0)
	}
	require.Less(t, slow, 15)
}

func TestRequestsAreInProportionToCapacity(t *testing.T) {
	helpers, memory, random := newHelpers(3), NewMemory(), newRandom()
	helpers[0].Capacity = 800
	strong := 0
	for range 1000 {
		if memory.Choose("menu", helpers, t0, random).Name == "h-0" {
			strong++
		}
	}
	require.InDelta(t, 800, strong, 60)
	helpers = helpers[:1]
	helpers[0].Capacity = 0
	require.Equal(t, "h-0", memory.Choose("menu", helpers, t0, random).Name)
}
