package mtmesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

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
