package mtkeys

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtonce"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// ticketLife is how long a key may be used after its ticket was given.
	ticketLife = 2 * time.Minute
	// clockMargin is by how much the clock of the instance that gives a ticket may be ahead of its home's.
	clockMargin = 15 * time.Second
)

// Keys is the at-most-once table of one incarnation; it is safe for use by many goroutines.
type Keys struct {
	mu          sync.Mutex
	table       *mtonce.Table
	instance    string
	incarnation uint64
	started     time.Time
}

// NewKeys returns the empty table of an incarnation of an instance that started at a moment.
func NewKeys(instance string, incarnation uint64, started time.Time, options ...mtonce.Option) *Keys {
	options = append(options, mtonce.WithLife(ticketLife))
	return &Keys{
		table:       mtonce.NewTable(options...),
		instance:    instance,
		incarnation: incarnation,
		started:     started,
	}
}

// Expiry returns until when tickets that are given now are valid, a little less than their life, as clocks differ.
func (k *Keys) Expiry(now time.Time) time.Time {
	return k.steady(now).Add(ticketLife - clockMargin)
}

// IsHome reports whether this incarnation gave the ticket.
func (k *Keys) IsHome(ticket mtticket.Ticket) bool {
	return ticket.Instance == k.instance && ticket.Incarnation == k.incarnation
}

// Begin takes a key for dispatch; an error means that it must not be dispatched.
func (k *Keys) Begin(team, key string, sum [sha256.Size]byte, ticket mtticket.Ticket, now time.Time) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Begin(team, key, sum, ticket.Expiry, k.steady(now))
}

// Settle returns the outcome of a key and closes a key that was never seen.
func (k *Keys) Settle(team, key string, ticket mtticket.Ticket, now time.Time) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Settle(team, key, ticket.Expiry, k.steady(now))
}

// BeginClaimed takes a key that this instance has claimed on the log; an error means that it must not be dispatched.
func (k *Keys) BeginClaimed(team, key string, sum [sha256.Size]byte, now time.Time) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now = k.steady(now)
	return k.table.Begin(team, key, sum, now.Add(ticketLife), now)
}

// Forgo closes a key whose claim was given up, so that no later question finds it unknown.
func (k *Keys) Forgo(team, key string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now = k.steady(now)
	// A full table leaves the key unknown, which is true as well.
	_, _ = k.table.Settle(team, key, now.Add(ticketLife), now)
}

// Lookup returns the outcome of a key that an incarnation claimed on the log.
func (k *Keys) Lookup(team, key string, incarnation uint64) mtoutcome.Outcome {
	if incarnation != k.incarnation {
		return mtoutcome.Unknown
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(team, key)
}

// steady returns the time since the start on the monotonic clock as wall time.
//
// A wall clock that steps back must not make an expired ticket valid again, because its keys are forgotten.
func (k *Keys) steady(now time.Time) time.Time {
	return k.started.Add(now.Sub(k.started))
}

// End records the outcome of a key that Begin took.
func (k *Keys) End(team, key string, outcome mtoutcome.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.End(team, key, outcome)
}

// Sweep forgets keys that can't be dispatched any more.
func (k *Keys) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Sweep(k.steady(now))
}

// Len returns the number of keys kept.
func (k *Keys) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}
