package mtquarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtsuspicion"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testFleet plays several instances whose messages take some milliseconds, and endpoints that crash under one request, in
// virtual time.
type testFleet struct {
	random *rand.Rand
	now    time.Time
	events []testEvent
	// peers are the instances.
	peers []*Quarantine
	// harmlessAt is when the request stops to crash endpoints.
	harmlessAt time.Time
	crashes    []time.Time
	served     []time.Time
	rejected   int
}

type testEvent struct {
	at  time.Time
	run func()
}

// deadly is the fingerprint of the request that crashes endpoints.
var deadly = mtfingerprint.Fingerprint{1}

func newTestFleet(instances int, seed uint64) *testFleet {
	fleet := &testFleet{
		random:     rand.New(rand.NewPCG(seed, 1)),
		now:        t0,
		harmlessAt: t0.Add(1000 * time.Hour),
	}
	for range instances {
		fleet.peers = append(fleet.peers, New())
	}
	return fleet
}

func (f *testFleet) after(delay time.Duration, run func()) {
	f.events = append(f.events, testEvent{
		at:  f.now.Add(delay),
		run: run,
	})
}

func (f *testFleet) run(until time.Time) {
	for len(f.events) > 0 {
		next := slices.MinFunc(f.events, func(a, b testEvent) int { return cmp.Compare(a.at.Sub(t0), b.at.Sub(t0)) })
		if next.at.After(until) {
			break
		}
		i := slices.IndexFunc(f.events, func(e testEvent) bool { return e.at.Equal(next.at) })
		next = f.events[i]
		f.events = slices.Delete(f.events, i, i+1)
		f.now = next.at
		next.run()
	}
	f.now = until
}

// tell delivers a change to all other instances some milliseconds later.
func (f *testFleet) tell(sender int, change func(peer *Quarantine)) {
	for i, peer := range f.peers {
		if i != sender {
			f.after(time.Duration(1+f.random.IntN(5))*time.Millisecond, func() { change(peer) })
		}
	}
}

// send sends the request at an instance, and again as often as its route allows.
func (f *testFleet) send(instance, attempts int) {
	quarantine := f.peers[instance]
	admission := quarantine.Admit(deadly, instance, f.now)
	switch admission.Verdict {
	case Reject:
		f.rejected++
		return
	case Hold:
		f.after(max(time.Millisecond, admission.Until.Sub(f.now)), func() { f.send(instance, attempts) })
		return
	case Trial:
		f.tell(instance, func(peer *Quarantine) { peer.SetPeerTrial(deadly, true, f.now) })
	}
	f.after(time.Duration(20+f.random.IntN(200))*time.Millisecond, func() {
		defer quarantine.EndTrial(deadly)
		if f.now.After(f.harmlessAt) {
			f.served = append(f.served, f.now)
			if quarantine.RecordAnswer(deadly, f.now) {
				evidence := quarantine.Evidence(deadly)
				f.tell(instance, func(peer *Quarantine) {
					peer.Merge(deadly, evidence, f.now)
					peer.SetPeerTrial(deadly, false, f.now)
				})
			}
			return
		}
		f.crashes = append(f.crashes, f.now)
		quarantine.RecordCrash(deadly, mtsuspicion.Crash{
			Process: f.random.Uint64(),
			At:      f.now,
		}, f.now)
		evidence := quarantine.Evidence(deadly)
		f.tell(instance, func(peer *Quarantine) {
			peer.Merge(deadly, evidence, f.now)
			peer.SetPeerTrial(deadly, false, f.now)
		})
		if attempts > 1 {
			f.after(time.Millisecond, func() { f.send(instance, attempts-1) })
		}
	})
}

// callFor lets the caller send the request at random instances for a time.
func (f *testFleet) callFor(length time.Duration, perSecond float64) {
	for at := time.Duration(0); at < length; at += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) {
		f.after(at, func() { f.send(f.random.IntN(len(f.peers)), 3) })
	}
	f.run(f.now.Add(length))
}

// A deadly request costs three endpoints, those that it reached before the first crash was known, and one for each
// quarantine.
func TestDeadlyRequestCostsFewEndpoints(t *testing.T) {
	for _, instances := range []int{1, 3, 10} {
		for seed := uint64(1); seed <= 40; seed++ {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				fleet := newTestFleet(instances, seed)
				fleet.callFor(2*time.Minute, 2)
				// The first requests may be in flight together.
				require.LessOrEqual(t, len(fleet.crashes), 3+2+2)
				require.Positive(t, fleet.rejected)
				first := slices.IndexFunc(fleet.crashes, func(at time.Time) bool {
					return at.After(fleet.crashes[2].Add(3 * time.Second))
				})
				if first >= 0 {
					require.LessOrEqual(t, len(fleet.crashes)-first, 3, "after the quarantine has begun")
				}
			})
		}
	}
}

func TestManyEqualRequestsAtOnceCostOneEndpointEachAtMost(t *testing.T) {
	fleet := newTestFleet(3, 1)
	for range 12 {
		fleet.send(fleet.random.IntN(3), 1)
	}
	fleet.run(t0.Add(time.Second))
	fleet.callFor(25*time.Second, 5)
	require.LessOrEqual(t, len(fleet.crashes), 12)
}

// An endpoint is mended: the request is tried after the quarantine, and once it is answered all instances send it.
func TestRequestThatIsHarmlessLaterIsServedAgain(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		fleet := newTestFleet(3, seed)
		fleet.harmlessAt = t0.Add(20 * time.Second)
		fleet.callFor(20*time.Second, 2)
		fleet.callFor(5*time.Minute, 2)
		require.NotEmpty(t, fleet.served)
		last := fleet.crashes[len(fleet.crashes)-1]
		require.Less(t, fleet.served[0].Sub(last), 2*time.Minute)
		rejected := fleet.rejected
		fleet.callFor(time.Minute, 2)
		require.Equal(t, rejected, fleet.rejected)
	}
}
