// The load pattern: a message that all instances must get at once, such as the heartbeat of an instance with a role, in
// a fleet that is spread over data centres. Traffic between data centres is paid for, so the message goes to a few
// instances of each other data centre, and these forward it to the others there.

package mtmembership

import (
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// relaysPerCentre is the number of instances of another data centre that get a message: two, so that it arrives
	// although one of them has just failed.
	relaysPerCentre = 2
	// maxRelaySilence is the silence up to which an instance is preferred as a relay.
	maxRelaySilence = time.Second
)

// SelectRelays returns the peers of the own data centre, which get a message for all instances directly, and those of
// other data centres that forward it.
func (v *View) SelectRelays(peers []*peerv1.Row, random *rand.Rand, now time.Time) (local, relays []*peerv1.Row) {
	shuffled := slices.Clone(peers)
	random.Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	var silent []*peerv1.Row
	counts := map[string]int{}
	addRelay := func(row *peerv1.Row) {
		if counts[row.GetCentre()] < relaysPerCentre {
			counts[row.GetCentre()]++
			relays = append(relays, row)
		}
	}
	for _, row := range shuffled {
		state, silence := v.InstanceState(row.GetInstance(), now)
		switch {
		case row.GetCentre() == v.self.GetCentre():
			local = append(local, row)
		case state == Alive && silence <= maxRelaySilence:
			addRelay(row)
		default:
			silent = append(silent, row)
		}
	}
	for _, row := range silent {
		addRelay(row)
	}
	return local, relays
}
