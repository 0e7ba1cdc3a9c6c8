package mtmembership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtmembership"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	maxRows  = 8
	maxBeats = 40
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulatedFleet is a set of views that gossip in rounds of one second and lose messages at random with a fixed seed.
type simulatedFleet struct {
	views  map[string]*mtmembership.View
	names  []string
	random *rand.Rand
	// lossRatio is the share of lost messages.
	lossRatio     float64
	isPartitioned func(from, to string) bool
	sentBytes     int
}

func newSimulatedFleet(size int) *simulatedFleet {
	f := &simulatedFleet{
		views:         map[string]*mtmembership.View{},
		random:        rand.New(rand.NewPCG(1, 2)),
		isPartitioned: func(string, string) bool { return false },
	}
	for i := range size {
		f.add(fmt.Sprintf("entry-%03d", i), uint64(i+1))
	}
	return f
}

// add adds an instance, or replaces it if the name is in use.
func (f *simulatedFleet) add(name string, incarnation uint64) *mtmembership.View {
	view := mtmembership.NewView(&peerv1.Row{
		Instance:    name,
		Incarnation: incarnation,
		Epoch:       1,
		Centre:      []string{"a", "b", "c"}[len(f.names)%3],
		Control:     name,
		Calls:       "127.0.1.100:7100",
	})
	if f.views[name] == nil {
		f.names = append(f.names, name)
	}
	f.views[name] = view
	return view
}

func (f *simulatedFleet) runRound(now time.Time) {
	for _, name := range f.names {
		view := f.views[name]
		if view == nil {
			continue
		}
		view.Tick(now)
		partners := view.PickPartners(now, f.random)
		if len(partners) < 2 {
			partners = append(partners, f.names[f.random.IntN(len(f.names))])
		}
		for _, partner := range partners {
			f.exchange(name, partner, now)
		}
	}
}

func (f *simulatedFleet) exchange(from, to string, now time.Time) {
	if f.views[to] == nil || from == to || f.isPartitioned(from, to) || f.random.Float64() < f.lossRatio {
		return
	}
	f.deliver(from, to, now)
	if f.random.Float64() >= f.lossRatio && !f.isPartitioned(to, from) {
		f.deliver(to, from, now)
	}
}

func (f *simulatedFleet) deliver(from, to string, now time.Time) {
	message := proto.CloneOf(f.views[from].GossipMessage(maxRows, maxBeats, f.random))
	f.sentBytes += proto.Size(message)
	f.views[to].Merge(message, now)
}

// countViews returns how many of the other instances see an instance in a state.
func (f *simulatedFleet) countViews(instance, state string, now time.Time) int {
	count := 0
	for name, view := range f.views {
		if name == instance || view == nil {
			continue
		}
		if seen, _ := view.InstanceState(instance, now); seen == state {
			count++
		}
	}
	return count
}

func (f *simulatedFleet) run(now time.Time, rounds int) time.Time {
	for range rounds {
		now = now.Add(time.Second)
		f.runRound(now)
	}
	return now
}

func TestAllDetectDeadInstanceAndItsReplacement(t *testing.T) {
	f := newSimulatedFleet(18)
	now := f.run(start, 30)
	require.Equal(t, 17, f.countViews("entry-005", mtmembership.Alive, now))
	f.views["entry-005"] = nil
	stoppedAt := now
	for f.countViews("entry-005", mtmembership.Dead, now) < 17 {
		now = f.run(now, 1)
		require.Less(t, now.Sub(stoppedAt), 13*time.Second)
	}
	t.Logf("all 17 others report the instance as dead after %s", now.Sub(stoppedAt))
	replaced := f.add("entry-005", 1000)
	replaced.SelfRow().Epoch = 2
	now = f.run(now, 10)
	require.Equal(t, 17, f.countViews("entry-005", mtmembership.Alive, now))
}

func TestInstanceRestartedWithLowerEpochReplacesItsOldRow(t *testing.T) {
	f := newSimulatedFleet(6)
	now := f.run(start, 20)
	replaced := f.add("entry-002", 1000)
	replaced.SelfRow().Epoch = 0
	now = f.run(now, 20)
	require.Equal(t, 5, f.countViews("entry-002", mtmembership.Alive, now))
	for name, view := range f.views {
		for _, row := range view.Rows() {
			if row.GetInstance() == "entry-002" {
				require.EqualValues(t, 1000, row.GetIncarnation(), "seen by %s", name)
			}
		}
	}
}

func TestNoInstanceIsFalselyDeadInTenMinutesOfMessageLoss(t *testing.T) {
	f := newSimulatedFleet(18)
	f.lossRatio = 0.3
	now := f.run(start, 30)
	suspectSeconds, deadSeconds := 0, 0
	for range 600 {
		now = f.run(now, 1)
		for _, name := range f.names {
			suspectSeconds += f.countViews(name, mtmembership.Suspect, now)
			deadSeconds += f.countViews(name, mtmembership.Dead, now)
		}
	}
	t.Logf("10 minutes with 30%% message loss among 18 instances: %d seconds suspect and %d seconds dead over %d pairs",
		suspectSeconds, deadSeconds, 18*17)
	require.Zero(t, deadSeconds)
}

func TestInstanceThatRefusesConnectionIsSuspectUntilItsNextHeartbeat(t *testing.T) {
	f := newSimulatedFleet(6)
	now := f.run(start, 20)
	view := f.views["entry-000"]
	view.ConnectionRefused("entry-001", now)
	state, _ := view.InstanceState("entry-001", now)
	require.Equal(t, mtmembership.Suspect, state)
	state, _ = view.InstanceState("entry-002", now)
	require.Equal(t, mtmembership.Alive, state)
	now = f.run(now, 5)
	state, _ = view.InstanceState("entry-001", now)
	require.Equal(t, mtmembership.Alive, state)
}

func TestPausedObserverSuspectsNoInstance(t *testing.T) {
	f := newSimulatedFleet(6)
	now := f.run(start, 20)
	now = now.Add(time.Minute)
	missed := f.views["entry-000"].Tick(now)
	require.Equal(t, 59*time.Second, missed)
	for _, name := range f.names[1:] {
		state, _ := f.views["entry-000"].InstanceState(name, now)
		require.Equal(t, mtmembership.Alive, state)
	}
}

func TestPartitionedHalvesRejoin(t *testing.T) {
	f := newSimulatedFleet(12)
	now := f.run(start, 20)
	inFirstHalf := func(name string) bool { return name < "entry-006" }
	f.isPartitioned = func(from, to string) bool { return inFirstHalf(from) != inFirstHalf(to) }
	now = f.run(now, 60)
	require.Equal(t, 6, f.countViews("entry-000", mtmembership.Dead, now))
	f.isPartitioned = func(string, string) bool { return false }
	now = f.run(now, 30)
	require.Equal(t, 11, f.countViews("entry-000", mtmembership.Alive, now))
}

// Heartbeats are sent without their rows too. A heartbeat that arrives before its row must not make the row look old.
func TestChangedRowReachesAllAlthoughHeartbeatsArriveFirst(t *testing.T) {
	f := newSimulatedFleet(18)
	now := f.run(start, 30)
	f.views["entry-007"].SelfRow().Applied = 42
	for rounds := 1; ; rounds++ {
		now = f.run(now, 1)
		receivers := 0
		for _, view := range f.views {
			for _, row := range view.Rows() {
				if row.GetApplied() == 42 {
					receivers++
				}
			}
		}
		if receivers == len(f.views) {
			t.Logf("all 18 instances have the changed row after %d rounds", rounds)
			return
		}
		require.Less(t, rounds, 13)
	}
}

func TestBytesPerInstanceDoNotGrowWithInstances(t *testing.T) {
	for _, size := range []int{16, 64, 128} {
		f := newSimulatedFleet(size)
		now := f.run(start, 30)
		f.sentBytes = 0
		now = f.run(now, 10)
		// Each byte is sent by one instance and received by another.
		perSecond := 2 * f.sentBytes / size / 10
		t.Logf("%d instances: each sends and receives %d bytes a second in all", size, perSecond)
		require.Less(t, perSecond, 10_000)
		require.Equal(t, size-1,
			f.countViews("entry-003", mtmembership.Alive, now)+f.countViews("entry-003", mtmembership.Suspect, now),
			"size %d", size)
	}
}
