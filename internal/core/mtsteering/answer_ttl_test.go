package mtsteering

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// misplacedFraction simulates a start of all instances: each of 15 lists itself as receiver until converged, when the
// instances have discovered each other, and the same two from then on. Callers ask any of the instances whenever their
// answer has expired. It returns the fraction of the requests that reach an instance other than those two, from a given
// time after the start until twice maxAnswerTTL.
func misplacedFraction(
	converged, from time.Duration, ttl func(now time.Time) time.Duration, record func(chosen []Candidate, now time.Time),
) float64 {
	const (
		instances = 15
		callers   = 150
		step      = 10 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	answers := make([]struct {
		expires   time.Time
		misplaced bool
	}, callers)
	// The first answers expire evenly over a quarter of maxAnswerTTL.
	for i := range answers {
		answers[i].expires = start.Add(maxAnswerTTL * time.Duration(i) / callers / 4)
	}
	misplaced, total := 0, 0
	for at := time.Duration(0); at < 2*maxAnswerTTL; at += step {
		now := start.Add(at)
		receivers := []Candidate{{Name: "self"}}
		if at >= converged {
			receivers = []Candidate{{Name: "a"}, {Name: "b"}}
		}
		record(receivers, now)
		for i := range answers {
			if !now.Before(answers[i].expires) {
				answers[i].expires = now.Add(ttl(now))
				answers[i].misplaced = at < converged && i%instances > 1
			}
			if at >= from {
				total++
				if answers[i].misplaced {
					misplaced++
				}
			}
		}
	}
	return float64(misplaced) / float64(total)
}

func TestCallersLeaveStartupReceiversQuickly(t *testing.T) {
	const converged, from = 300 * time.Millisecond, 550 * time.Millisecond
	answerTTL := AnswerTTL{}
	fraction := misplacedFraction(converged, from, answerTTL.At, answerTTL.RecordReceivers)
	constantTTL := misplacedFraction(
		converged, from, func(time.Time) time.Duration { return maxAnswerTTL }, func([]Candidate, time.Time) {})
	require.Greater(t, constantTTL, 0.2, "every answer is cached for maxAnswerTTL")
	require.Less(t, fraction, 0.02)
}

func TestTTLEqualsTimeSinceReceiversChanged(t *testing.T) {
	now := time.Unix(1000, 0)
	answerTTL := AnswerTTL{}
	answerTTL.RecordReceivers([]Candidate{{Name: "a"}, {Name: "b"}}, now)
	require.Equal(t, minAnswerTTL, answerTTL.At(now))
	now = now.Add(time.Second)
	answerTTL.RecordReceivers([]Candidate{{Name: "b"}, {Name: "a"}}, now)
	require.Equal(t, time.Second, answerTTL.At(now), "the order of the receivers does not matter")
	require.Equal(t, maxAnswerTTL, answerTTL.At(now.Add(time.Minute)))
	answerTTL.RecordReceivers([]Candidate{{Name: "b"}, {Name: "c"}}, now)
	require.Equal(t, minAnswerTTL, answerTTL.At(now))
}
