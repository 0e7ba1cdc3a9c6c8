package mtmembership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtmembership"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// newSpreadRows returns the rows of instances of three data centres.
func newSpreadRows(perCentre int) []*peerv1.Row {
	var rows []*peerv1.Row
	for _, centre := range []string{"a", "b", "c"} {
		for i := range perCentre {
			rows = append(rows, &peerv1.Row{
				Instance:    fmt.Sprintf("%s-%d", centre, i),
				Incarnation: uint64(len(rows) + 1),
				Centre:      centre,
				Heartbeat:   1,
			})
		}
	}
	return rows
}

func countRemote(rows []*peerv1.Row, centre string) int {
	count := 0
	for _, row := range rows {
		if row.GetCentre() != centre {
			count++
		}
	}
	return count
}

func TestGossipGoesToOnePeerOfAnotherDataCentre(t *testing.T) {
	const fanout = 4
	random := rand.New(rand.NewPCG(1, 1))
	reached := map[string]bool{}
	for range 500 {
		rows := newSpreadRows(10)
		mtmembership.OrderGossipPeers(rows[0], rows[1:], fanout, random)
		selected := rows[1 : 1+fanout]
		require.Equal(t, 1, countRemote(selected, "a"))
		for _, row := range selected {
			reached[row.GetInstance()] = true
		}
	}
	require.Len(t, reached, 29, "every peer is selected sometimes")
}

// An instance without enough peers in its data centre must not be cut off from the others.
func TestGossipOfSmallDataCentreGoesElsewhere(t *testing.T) {
	rows := newSpreadRows(10)
	lonely := &peerv1.Row{Instance: "d-0", Centre: "d"}
	mtmembership.OrderGossipPeers(lonely, rows, 4, rand.New(rand.NewPCG(1, 1)))
	require.Equal(t, 4, countRemote(rows[:4], "d"))
	mtmembership.OrderGossipPeers(lonely, rows[:2], 4, rand.New(rand.NewPCG(1, 1)))
}

func TestMessageForAllGoesToTwoRelaysOfEachOtherDataCentre(t *testing.T) {
	rows := newSpreadRows(10)
	view := mtmembership.NewView(rows[0])
	view.Merge(&peerv1.Gossip{Rows: rows[1:]}, start)
	local, relays := view.SelectRelays(rows[1:], rand.New(rand.NewPCG(1, 1)), start)
	require.Len(t, local, 9)
	require.Zero(t, countRemote(local, "a"))
	require.Len(t, relays, 4)
	require.Equal(t, 4, countRemote(relays, "a"))
	require.Equal(t, 2, countRemote(relays, "b"))
}

// Relays that have just failed would lose the message for a whole data centre.
func TestSilentInstancesAreRelaysOnlyIfThereIsNoOther(t *testing.T) {
	rows := newSpreadRows(5)
	view := mtmembership.NewView(rows[0])
	view.Merge(&peerv1.Gossip{Rows: rows[1:]}, start)
	now := start.Add(2 * time.Second)
	alive := &peerv1.Row{Instance: "b-1", Incarnation: rows[6].GetIncarnation(), Centre: "b", Heartbeat: 2}
	view.Merge(&peerv1.Gossip{Rows: []*peerv1.Row{alive}}, now)
	for seed := range uint64(20) {
		_, relays := view.SelectRelays(rows[1:], rand.New(rand.NewPCG(seed, 1)), now)
		require.Len(t, relays, 4)
		require.Equal(t, "b-1", relays[0].GetInstance(), "the only relay that is heard goes first")
	}
}
