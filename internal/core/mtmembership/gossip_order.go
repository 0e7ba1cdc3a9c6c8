package mtmembership

import (
	"math/rand/v2"
	"slices"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// OrderGossipPeers shuffles the rows of peers and moves those that get the next gossip message to the front: one of
// another data centre and, as far as there are so many, the others of the own one.
//
// Traffic between data centres is paid for. Within each data centre a message reaches all instances in a few rounds, so
// one message of each instance to another data centre is enough.
func OrderGossipPeers(self *peerv1.Row, peers []*peerv1.Row, fanout int, random *rand.Rand) {
	random.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	isRemote := func(row *peerv1.Row) bool {
		return row.GetCentre() != self.GetCentre()
	}
	slices.SortStableFunc(peers, func(a, b *peerv1.Row) int {
		switch {
		case isRemote(a) == isRemote(b):
			return 0
		case isRemote(a):
			return 1
		default:
			return -1
		}
	})
	firstRemote := slices.IndexFunc(peers, isRemote)
	if last := fanout - 1; firstRemote > last {
		peers[last], peers[firstRemote] = peers[firstRemote], peers[last]
	}
}
