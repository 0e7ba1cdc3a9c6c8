package mtmesh

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtmember"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// controlLimit is the target of docs/CAPACITY.md for what an instance sends to the others, in bytes a second.
const controlLimit = 10_000

func row(number int) *peerv1.Row {
	standing := &peerv1.Standing{
		Offset: 100_000,
		Age:    500,
	}
	return &peerv1.Row{
		Instance:    fmt.Sprintf("front-region-south-a-%d", number),
		Incarnation: 1<<62 + uint64(number),
		Epoch:       1_790_000_000_000,
		Heartbeat:   100_000,
		Centre:      "region-south-a",
		Calls:       "10.200.100.100:18641",
		Mesh:        "10.200.100.100:18620",
		Capacity:    0.3,
		Link:        100,
		Traffic:     3,
		Rate:        20,
		Ready:       true,
		Standings:   []*peerv1.Standing{standing, standing},
	}
}

func TestGossipOfAnInstanceStaysWithinTheTargetInALargeFleet(t *testing.T) {
	view := mtmember.NewView(row(0))
	now := time.Unix(1000, 0)
	for number := range 500 {
		view.Merge(&peerv1.Gossip{
			Rows: []*peerv1.Row{row(number + 1)},
		}, now)
	}
	message := view.Message(rowLimit, beatLimit, rand.New(rand.NewPCG(1, 1)))
	rate := float64(proto.Size(message)*fanout) / Period.Seconds()
	require.LessOrEqual(t, rate, float64(controlLimit))
}

// silent is a listener that says nothing.
type silent struct{}

func (silent) Fill(*peerv1.Row, time.Time) bool   { return false }
func (silent) Heard(*peerv1.Row, time.Time)       {}
func (silent) Changed(*peerv1.Changes, time.Time) {}
func (silent) Marks(time.Time) []*peerv1.Mark     { return nil }
func (silent) Marked([]*peerv1.Mark, time.Time)   {}

// newMesh returns an instance on a free port of the loopback address, without its periodic beats.
func newMesh(t *testing.T, number int, seeds ...string) *Mesh {
	t.Helper()
	self := row(number)
	self.Mesh = "127.0.0.1:0"
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	mesh, err := NewMesh(self, seeds, silent{}, logger)
	require.NoError(t, err)
	self.Mesh = mesh.socket.LocalAddr().String()
	t.Cleanup(func() { _ = mesh.socket.Close() })
	go mesh.receive()
	return mesh
}

// A fleet starts, and hundreds ask the same seed. Each must be answered itself: a beat goes to a few of the hundreds, and one that
// hears nobody takes itself for the only one.
func TestSeedAnswersEachNewcomer(t *testing.T) {
	seed := newMesh(t, 0)
	now := time.Now()
	for number := range 400 {
		other := row(number + 1)
		// A port that discards.
		other.Mesh = "127.0.0.1:9"
		seed.take(&peerv1.Gossip{
			Rows: []*peerv1.Row{other},
		}, now)
	}
	for number := range 5 {
		newcomer := newMesh(t, 1000+number, seed.view.Self().GetMesh())
		newcomer.Beat(now)
		require.Eventually(t, func() bool {
			return newcomer.Fleet() > 1
		}, 10*time.Second, time.Millisecond)
	}
}
