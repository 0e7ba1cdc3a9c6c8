package mtstartup

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// waitTime returns how long an instance waits when it discovers one more peer at each of the times after its start.
func waitTime(capacity float64, discoveries ...time.Duration) time.Duration {
	started := time.Unix(1000, 0)
	opening := PeerWait{
		Started: started,
		Cores:   capacity,
	}
	for after := time.Duration(0); ; after += time.Millisecond {
		peers := 0
		for _, discovery := range discoveries {
			if discovery <= after {
				peers++
			}
		}
		now := started.Add(after)
		opening.ObservePeers(peers, now)
		if opening.Remaining(now) == 0 {
			return after
		}
	}
}

// The capacities in cores of the instances in a large deployment.
const (
	lowCapacity  = 0.16
	highCapacity = 0.8
)

// discoveryTimes returns times in even steps until end, shifted by the sum of the delays.
func discoveryTimes(step, end time.Duration, delays ...time.Duration) []time.Duration {
	var times []time.Duration
	for at := step; at <= end; at += step {
		offset := time.Duration(0)
		for _, delay := range delays {
			offset += delay
		}
		times = append(times, offset+at)
	}
	return times
}

func TestWaitForPeers(t *testing.T) {
	for name, test := range map[string]struct {
		discoveries   []time.Duration
		isLowCapacity bool
		wait          time.Duration
	}{
		"low capacity, seeds start 300 ms later": {
			discoveries:   discoveryTimes(time.Millisecond, 40*time.Millisecond, 300*time.Millisecond),
			isLowCapacity: true,
			wait:          370 * time.Millisecond,
		},
		"low capacity, no peers": {
			isLowCapacity: true,
			wait:          maxLowCapacityWait,
		},
		"low capacity, joins a running fleet": {
			discoveries:   discoveryTimes(time.Millisecond, 10*time.Millisecond),
			isLowCapacity: true,
			wait:          minPeerWait,
		},
		"restart of 19 instances within 15 ms": {
			discoveries: discoveryTimes(800*time.Microsecond, 15*time.Millisecond),
			wait:        minPeerWait,
		},
		"restart of 141 instances on one host over 400 ms": {
			discoveries: discoveryTimes(3*time.Millisecond, 400*time.Millisecond),
			wait:        maxPeerWait,
		},
		"late second peer": {
			discoveries: []time.Duration{5 * time.Millisecond, 50 * time.Millisecond},
			wait:        80 * time.Millisecond,
		},
		"no peers": {
			wait: maxWaitWithoutPeers,
		},
		"restart of 15 instances over 400 ms, seeds start last": {
			discoveries: discoveryTimes(28*time.Millisecond, 400*time.Millisecond),
			wait:        maxWaitWithoutPeers,
		},
		"joins a running fleet": {
			discoveries: discoveryTimes(time.Millisecond, 10*time.Millisecond),
			wait:        minPeerWait,
		},
	} {
		t.Run(name, func(t *testing.T) {
			capacity := highCapacity
			if test.isLowCapacity {
				capacity = lowCapacity
			}
			require.Equal(t, test.wait, waitTime(capacity, test.discoveries...))
		})
	}
}

// Callers that an instance refuses during its wait retry after 100 ms at the earliest, and must find it ready.
func TestHighCapacityInstanceWithoutPeersStopsWaitingBeforeCallersRetry(t *testing.T) {
	require.Less(t, waitTime(highCapacity), 100*time.Millisecond)
	require.Less(t, waitTime(highCapacity, 300*time.Millisecond), 100*time.Millisecond, "the seeds start last")
}

// If the wait were as short at the first start of a fleet of 311 instances, twelve high-capacity instances would read
// the store at once and relay all changes to all others, and 53 low-capacity instances would get nothing from their
// seeds for 0.6 s.
func TestWaitIsLongerAtFirstStartOfFleet(t *testing.T) {
	opening := PeerWait{
		Started:           time.Unix(1000, 0),
		Cores:             highCapacity,
		IsFirstDeployment: true,
	}
	require.Equal(t, maxPeerWait-maxWaitWithoutPeers, opening.Remaining(opening.Started.Add(maxWaitWithoutPeers)))
	require.False(t, opening.ShouldReadAddresses(opening.Started.Add(maxPeerWait)), "the store has no record yet")
}

func TestHighCapacityInstanceWithoutPeersReadsAddressesFromStoreOnce(t *testing.T) {
	opening := PeerWait{
		Started: time.Unix(1000, 0),
		Cores:   highCapacity,
	}
	now := opening.Started.Add(maxWaitWithoutPeers)
	require.False(t, opening.ShouldReadAddresses(now.Add(-1)))
	lowCapacityOpening, openingWithPeer := opening, opening
	require.True(t, opening.ShouldReadAddresses(now))
	require.False(t, opening.ShouldReadAddresses(now), "it returns true only once")
	lowCapacityOpening.Cores = lowCapacity
	require.False(t, lowCapacityOpening.ShouldReadAddresses(now))
	openingWithPeer.ObservePeers(1, now)
	require.False(t, openingWithPeer.ShouldReadAddresses(now))
}

func TestWaitDoesNotResumeForLaterPeers(t *testing.T) {
	opening := PeerWait{
		Started: time.Unix(1000, 0),
	}
	opening.ObservePeers(3, opening.Started)
	now := opening.Started.Add(minPeerWait)
	require.Zero(t, opening.Remaining(now))
	opening.ObservePeers(4, now)
	require.Zero(t, opening.Remaining(now))
}
