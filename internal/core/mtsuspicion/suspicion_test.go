package mtsuspicion

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// crashesAt returns a suspicion after crashes of different processes at times after t0.
func crashesAt(offsets ...time.Duration) *Suspicion {
	suspicion := &Suspicion{}
	for i, offset := range offsets {
		suspicion.AddCrash(Crash{
			Process: uint64(i),
			At:      t0.Add(offset),
		})
	}
	return suspicion
}

func TestThreeCrashesQuarantine(t *testing.T) {
	_, found := crashesAt(0, 1).QuarantineEnd()
	require.False(t, found)
	end, found := crashesAt(0, 1, time.Second).QuarantineEnd()
	require.True(t, found)
	require.Equal(t, t0.Add(time.Second+baseQuarantine), end)
}

func TestQuarantineDoublesUpToABound(t *testing.T) {
	suspicion := &Suspicion{}
	length := baseQuarantine / 2
	for i := range 2 * maxCrashes {
		at := t0.Add(time.Duration(i) * time.Hour)
		require.True(t, suspicion.AddCrash(Crash{
			At: at,
		}))
		if i < quarantineCrashes-1 {
			continue
		}
		length = min(2*length, maxQuarantine)
		end, _ := suspicion.QuarantineEnd()
		require.Equal(t, at.Add(length), end)
	}
	require.Equal(t, maxQuarantine, length)
	require.Len(t, suspicion.Crashes, maxCrashes)
}

// Several instances had an equal request in flight at the endpoint.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	suspicion := &Suspicion{}
	require.True(t, suspicion.AddCrash(Crash{Process: 1, At: t0}))
	require.False(t, suspicion.AddCrash(Crash{Process: 1, At: t0.Add(sameCrashTime / 2)}))
	require.False(t, suspicion.AddCrash(Crash{Process: 1, At: t0.Add(-sameCrashTime / 2)}))
	require.True(t, suspicion.AddCrash(Crash{Process: 2, At: t0}))
	require.True(t, suspicion.AddCrash(Crash{Process: 1, At: t0.Add(2 * sameCrashTime)}), "it is back and crashes again")
	require.Len(t, suspicion.Crashes, 3)
}

func TestAnswerClearsEarlierCrashes(t *testing.T) {
	suspicion := crashesAt(0, time.Second, 2*time.Second, 4*time.Second)
	require.True(t, suspicion.AddAnswer(t0.Add(3*time.Second)))
	require.Len(t, suspicion.Crashes, 1)
	require.False(t, suspicion.AddAnswer(t0.Add(time.Second)), "an older answer")
	require.False(t, suspicion.AddCrash(Crash{Process: 9, At: t0}), "an older report of a peer")
	require.True(t, suspicion.IsSuspected())
	require.True(t, suspicion.AddAnswer(t0.Add(5*time.Second)))
	require.False(t, suspicion.IsSuspected())
}

func TestEvidenceExpires(t *testing.T) {
	require.False(t, crashesAt(0).IsExpired(t0.Add(crashTTL)))
	require.True(t, crashesAt(0).IsExpired(t0.Add(crashTTL+1)))
	quarantined := crashesAt(0, 1, 2)
	require.False(t, quarantined.IsExpired(t0.Add(baseQuarantine+crashTTL)))
	require.True(t, quarantined.IsExpired(t0.Add(baseQuarantine+crashTTL+time.Second)))
	answered := &Suspicion{}
	answered.AddAnswer(t0)
	require.False(t, answered.IsExpired(t0.Add(answerTTL)))
	require.True(t, answered.IsExpired(t0.Add(answerTTL+1)))
}

// Evidence reaches instances in any order and repeatedly.
func TestOrderOfEvidenceDoesNotMatter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		add := []func(s *Suspicion){}
		for i := range 1 + random.IntN(6) {
			at := t0.Add(time.Duration(i) * 2 * sameCrashTime)
			process := random.Uint64N(3)
			if random.IntN(4) == 0 {
				add = append(add, func(s *Suspicion) { s.AddAnswer(at) })
			} else {
				add = append(add, func(s *Suspicion) { s.AddCrash(Crash{Process: process, At: at}) })
			}
		}
		var first, second Suspicion
		for _, f := range add {
			f(&first)
		}
		add = append(add, add...)
		random.Shuffle(len(add), func(i, j int) { add[i], add[j] = add[j], add[i] })
		for _, f := range add {
			f(&second)
		}
		require.ElementsMatch(t, first.Crashes, second.Crashes)
		require.Equal(t, first.AnsweredAt, second.AnsweredAt)
	}
}
