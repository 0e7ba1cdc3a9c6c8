package mtopening

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// meet returns how long an instance waits for the others when one more turns up at each of the times after its start.
func meet(capacity float64, times ...time.Duration) time.Duration {
	started := time.Unix(1000, 0)
	opening := Opening{
		Started:  started,
		Capacity: capacity,
	}
	for after := time.Duration(0); ; after += time.Millisecond {
		known := 0
		for _, one := range times {
			if one <= after {
				known++
			}
		}
		now := started.Add(after)
		opening.Heard(known, now)
		if opening.Left(now) == 0 {
			return after
		}
	}
}

// The capacities of the instances of the users' large deployment.
const (
	weak   = 0.16
	strong = 0.8
)

// every returns the times of instances that turn up in even steps, after a time without any.
func every(step, end time.Duration, after ...time.Duration) []time.Duration {
	var times []time.Duration
	for at := step; at <= end; at += step {
		first := time.Duration(0)
		for _, one := range after {
			first += one
		}
		times = append(times, first+at)
	}
	return times
}

func TestWaitForTheOthers(t *testing.T) {
	for name, one := range map[string]struct {
		others []time.Duration
		weak   bool
		wait   time.Duration
	}{
		"a weak one, whose seeds start 300 ms after it": {
			others: every(time.Millisecond, 40*time.Millisecond, 300*time.Millisecond),
			weak:   true,
			wait:   370 * time.Millisecond,
		},
		"a weak one and nobody": {
			weak: true,
			wait: meetWeak,
		},
		"a weak one that joins a fleet": {
			others: every(time.Millisecond, 10*time.Millisecond),
			weak:   true,
			wait:   meetLeast,
		},
		"a restart of 19 within 15 ms": {
			others: every(800*time.Microsecond, 15*time.Millisecond),
			wait:   meetLeast,
		},
		"a restart of 141 on one host, over 400 ms": {
			others: every(3*time.Millisecond, 400*time.Millisecond),
			wait:   meetMost,
		},
		"a late one": {
			others: []time.Duration{5 * time.Millisecond, 50 * time.Millisecond},
			wait:   80 * time.Millisecond,
		},
		"nobody": {
			wait: meetAlone,
		},
		"a restart of 15 over 400 ms, whose seeds start last": {
			others: every(28*time.Millisecond, 400*time.Millisecond),
			wait:   meetAlone,
		},
		"one that joins a fleet": {
			others: every(time.Millisecond, 10*time.Millisecond),
			wait:   meetLeast,
		},
	} {
		t.Run(name, func(t *testing.T) {
			capacity := strong
			if one.weak {
				capacity = weak
			}
			require.Equal(t, one.wait, meet(capacity, one.others...))
		})
	}
}

// Callers that an instance refuses while it waits come back after 100 ms at the earliest, and must find it able to serve.
func TestStrongInstanceThatHearsNobodyTakesItsRoleBeforeCallersComeBack(t *testing.T) {
	require.Less(t, meet(strong), 100*time.Millisecond)
	require.Less(t, meet(strong, 300*time.Millisecond), 100*time.Millisecond, "the seeds start last")
}

// At the first start of 311 instances twelve strong ones that read at once relayed all changes to all, and 53 weak ones did not hear
// their seeds for 0.6 s.
func TestFirstStartOfAFleetIsNotHurried(t *testing.T) {
	opening := Opening{
		Started:  time.Unix(1000, 0),
		Capacity: strong,
		First:    true,
	}
	require.Equal(t, meetMost-meetAlone, opening.Left(opening.Started.Add(meetAlone)))
	require.False(t, opening.LooksAround(opening.Started.Add(meetMost)), "the store has no record yet")
}

func TestStrongInstanceThatHearsNobodyLooksForTheOthers(t *testing.T) {
	opening := Opening{
		Started:  time.Unix(1000, 0),
		Capacity: strong,
	}
	now := opening.Started.Add(meetAlone)
	require.False(t, opening.LooksAround(now.Add(-1)))
	weakOne, met := opening, opening
	require.True(t, opening.LooksAround(now))
	require.False(t, opening.LooksAround(now), "once is enough")
	weakOne.Capacity = weak
	require.False(t, weakOne.LooksAround(now))
	met.Heard(1, now)
	require.False(t, met.LooksAround(now))
}

func TestInstanceThatHasMetTheOthersDoesNotWaitForMore(t *testing.T) {
	opening := Opening{
		Started: time.Unix(1000, 0),
	}
	opening.Heard(3, opening.Started)
	now := opening.Started.Add(meetLeast)
	require.Zero(t, opening.Left(now))
	opening.Heard(4, now)
	require.Zero(t, opening.Left(now))
}
