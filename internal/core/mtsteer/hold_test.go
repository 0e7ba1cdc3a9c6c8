package mtsteer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// strayShare replays a start of all: each of 15 instances names itself until they have met, and the same two from then on. Callers ask
// any of them whenever their answer has run out. It returns the part of the requests that reach other instances than those two, from
// a moment after the start on until twice the longest hold.
func strayShare(met, from time.Duration, hold func(now time.Time) time.Duration, named func(crew []Candidate, now time.Time)) float64 {
	const (
		instances = 15
		callers   = 150
		step      = 10 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	asked := make([]struct {
		until  time.Time
		strays bool
	}, callers)
	// The answers run out evenly over the longest hold.
	for i := range asked {
		asked[i].until = start.Add(holdMost * time.Duration(i) / callers / 4)
	}
	strays, all := 0, 0
	for at := time.Duration(0); at < 2*holdMost; at += step {
		now := start.Add(at)
		crew := []Candidate{{Name: "self"}}
		if at >= met {
			crew = []Candidate{{Name: "a"}, {Name: "b"}}
		}
		named(crew, now)
		for i := range asked {
			if !now.Before(asked[i].until) {
				asked[i].until = now.Add(hold(now))
				asked[i].strays = at < met && i%instances > 1
			}
			if at >= from {
				all++
				if asked[i].strays {
					strays++
				}
			}
		}
	}
	return float64(strays) / float64(all)
}

func TestCallersLeaveTheReceiversOfAStartSoon(t *testing.T) {
	const met, from = 300 * time.Millisecond, 550 * time.Millisecond
	h := Hold{}
	share := strayShare(met, from, h.Left, h.Named)
	naive := strayShare(met, from, func(time.Time) time.Duration { return holdMost }, func([]Candidate, time.Time) {})
	require.Greater(t, naive, 0.2, "an answer that is always kept for long")
	require.Less(t, share, 0.02)
}

func TestAnswerIsKeptForAsLongAsItHasBeenTheSame(t *testing.T) {
	now := time.Unix(1000, 0)
	h := Hold{}
	h.Named([]Candidate{{Name: "a"}, {Name: "b"}}, now)
	require.Equal(t, holdLeast, h.Left(now))
	now = now.Add(time.Second)
	h.Named([]Candidate{{Name: "b"}, {Name: "a"}}, now)
	require.Equal(t, time.Second, h.Left(now), "the order does not matter")
	require.Equal(t, holdMost, h.Left(now.Add(time.Minute)))
	h.Named([]Candidate{{Name: "b"}, {Name: "c"}}, now)
	require.Equal(t, holdLeast, h.Left(now))
}
