// The load pattern: hundreds of instances in a few data centres gossip several times a second, and bytes between data
// centres are expensive. With partners drawn from all instances, three of four messages cross data centres, although one
// per instance and round is enough to spread news to each data centre within a round or two.

package mtpartner

import "math/rand/v2"

// Partner is an instance to which a message may be sent.
type Partner interface {
	// IsRemote reports whether the instance is in another data centre.
	IsRemote() bool
}

// Choose shuffles the candidates and moves the partners of one round to the front: up to count of them, remote ones among
// them as far as both kinds suffice. It returns the number of partners.
func Choose[T Partner](candidates []T, count, remote int, random *rand.Rand) int {
	random.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	count = min(count, len(candidates))
	remotes := 0
	for _, candidate := range candidates {
		if candidate.IsRemote() {
			remotes++
		}
	}
	// What the own data centre lacks is taken from the others, and the other way round.
	locals := min(len(candidates)-remotes, count-min(remote, remotes))
	wanted := [2]int{locals, count - locals}
	chosen := 0
	for i, candidate := range candidates {
		kind := 0
		if candidate.IsRemote() {
			kind = 1
		}
		if wanted[kind] == 0 {
			continue
		}
		wanted[kind]--
		candidates[chosen], candidates[i] = candidates[i], candidates[chosen]
		chosen++
	}
	return chosen
}
