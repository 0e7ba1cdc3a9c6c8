// A caller may choose an idempotency key without requesting a ticket first. No instance owns such a key until an
// instance claims it on the log. For every reader, the first claim on the log is the valid one, and only the call that
// made it may be dispatched.
//
//	offset 8: entry-1 claims acme/hosts invoice-7 with id 41   -> the call with id 41 may run
//	offset 9: entry-4 claims acme/hosts invoice-7 with id 77   -> the call with id 77 may not; entry-1 is asked
//
// A claim is removed when the log drops its record, so a key is known for as long as the log retains records.

package mtclaims

import (
	"github.com/joomcode/errorx"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

var (
	namespace = errorx.NewNamespace("claims")
	// Gap is the type of the error for a batch whose offset is higher than the next one expected.
	Gap = namespace.NewType("gap")
)

// Claims holds the first claim of each key up to an offset of the log. It is not safe for concurrent use.
type Claims struct {
	nextOffset uint64
	// oldestOffset is the offset before which all claims are removed.
	oldestOffset uint64
	firstClaims  map[teamKey]*peerv1.Claim
	// keysByOffset holds the keys whose first claim has an offset.
	keysByOffset map[uint64][]teamKey
}

type teamKey struct {
	team string
	key  string
}

// NewClaims returns the claims of an empty log.
func NewClaims() *Claims {
	return &Claims{
		firstClaims:  map[teamKey]*peerv1.Claim{},
		keysByOffset: map[uint64][]teamKey{},
	}
}

// NextOffset returns the offset of the next batch to apply.
func (c *Claims) NextOffset() uint64 {
	return c.nextOffset
}

// Apply applies the batch at an offset; batch is nil if the log entry can't be decoded. A batch below the next offset
// has no effect. A batch above it returns an error of type [Gap].
func (c *Claims) Apply(offset uint64, batch *peerv1.Claims) error {
	if offset < c.nextOffset {
		return nil
	}
	if offset > c.nextOffset {
		return Gap.New("batch at offset %d, expected offset %d", offset, c.nextOffset)
	}
	c.nextOffset = offset + 1
	for _, claim := range batch.GetClaims() {
		id := teamKey{
			team: claim.GetTeam(),
			key:  claim.GetKey(),
		}
		if c.firstClaims[id] == nil {
			c.firstClaims[id] = claim
			c.keysByOffset[offset] = append(c.keysByOffset[offset], id)
		}
	}
	return nil
}

// ForgetBefore removes the claims before the oldest offset on the log. The next offset is at least that offset afterwards.
func (c *Claims) ForgetBefore(oldestOffset uint64) {
	if len(c.keysByOffset) == 0 {
		c.oldestOffset = max(c.oldestOffset, oldestOffset)
	}
	for ; c.oldestOffset < oldestOffset; c.oldestOffset++ {
		for _, id := range c.keysByOffset[c.oldestOffset] {
			delete(c.firstClaims, id)
		}
		delete(c.keysByOffset, c.oldestOffset)
	}
	c.nextOffset = max(c.nextOffset, oldestOffset)
}

// FirstClaim returns the first claim of a key, or nil if there is none.
func (c *Claims) FirstClaim(team, key string) *peerv1.Claim {
	return c.firstClaims[teamKey{
		team: team,
		key:  key,
	}]
}

// Len returns the number of claimed keys.
func (c *Claims) Len() int {
	return len(c.firstClaims)
}
