// A caller may choose a key without asking for a ticket first. Such a key has no home until an instance claims it: the
// first claim on the log wins, for every reader alike, and only the call that made it may be dispatched.
//
//	offset 8: entry-1 claims acme/hosts invoice-7 with id 41   -> the call with id 41 may run
//	offset 9: entry-4 claims acme/hosts invoice-7 with id 77   -> the call with id 77 may not; entry-1 is asked
//
// A claim is forgotten when the log forgets it, so a key is remembered for as long as the log keeps records.

package mtclaims

import (
	"github.com/joomcode/errorx"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

var (
	namespace = errorx.NewNamespace("claims")
	// Gap is the type of the error for a batch that does not follow the last one applied.
	Gap = namespace.NewType("gap")
)

// Claims holds the first claim of each key up to an offset of the log.
type Claims struct {
	applied uint64
	oldest  uint64
	first   map[identity]*peerv1.Claim
	offsets map[uint64][]identity
}

type identity struct {
	team string
	key  string
}

// NewClaims returns the claims of an empty log.
func NewClaims() *Claims {
	return &Claims{
		first:   map[identity]*peerv1.Claim{},
		offsets: map[uint64][]identity{},
	}
}

// Applied returns the offset of the next batch that is needed.
func (c *Claims) Applied() uint64 {
	return c.applied
}

// Apply folds in the batch at an offset; batch is nil when the entry can't be read.
func (c *Claims) Apply(offset uint64, batch *peerv1.Claims) error {
	if offset < c.applied {
		return nil
	}
	if offset > c.applied {
		return Gap.New("batch at offset %d, expected offset %d", offset, c.applied)
	}
	c.applied = offset + 1
	for _, claim := range batch.GetClaims() {
		id := identity{
			team: claim.GetTeam(),
			key:  claim.GetKey(),
		}
		if c.first[id] == nil {
			c.first[id] = claim
			c.offsets[offset] = append(c.offsets[offset], id)
		}
	}
	return nil
}

// Forget drops the claims before the oldest offset that the log keeps.
func (c *Claims) Forget(oldest uint64) {
	if len(c.offsets) == 0 {
		c.oldest = max(c.oldest, oldest)
	}
	for ; c.oldest < oldest; c.oldest++ {
		for _, id := range c.offsets[c.oldest] {
			delete(c.first, id)
		}
		delete(c.offsets, c.oldest)
	}
	c.applied = max(c.applied, oldest)
}

// First returns the first claim of a key, or nil.
func (c *Claims) First(team, key string) *peerv1.Claim {
	return c.first[identity{
		team: team,
		key:  key,
	}]
}

// Len returns the number of keys that are claimed.
func (c *Claims) Len() int {
	return len(c.first)
}
