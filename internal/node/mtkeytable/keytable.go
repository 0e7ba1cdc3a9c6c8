package mtkeytable

import (
	"crypto/sha256"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// ticketLifetime is how long a key may be used after its ticket was issued.
	ticketLifetime = 2 * time.Minute
	// maxClockSkew is how far the clock of the instance that issues a ticket may be ahead of the clock of the instance
	// whose table holds the ticket's keys.
	maxClockSkew = 15 * time.Second
)

// Table is the table of the idempotency keys that one incarnation runs at most once. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	table       *mtdedup.Table
	instance    string
	incarnation uint64
	started     time.Time
}

// NewTable returns the empty table of an incarnation; started is when the incarnation started.
func NewTable(instance string, incarnation uint64, started time.Time, options ...mtdedup.Option) *Table {
	options = append(options, mtdedup.WithTicketTTL(ticketLifetime))
	return &Table{
		table:       mtdedup.NewTable(options...),
		instance:    instance,
		incarnation: incarnation,
		started:     started,
	}
}

// TicketExpiry returns the expiry of tickets that are issued now: ticketLifetime less maxClockSkew from now.
func (k *Table) TicketExpiry(now time.Time) time.Time {
	return k.monotonicTime(now).Add(ticketLifetime - maxClockSkew)
}

// Owns reports whether the ticket names this incarnation, so that its keys belong in this table.
func (k *Table) Owns(ticket mtticket.Ticket) bool {
	return ticket.Instance == k.instance && ticket.Incarnation == k.incarnation
}

// Begin registers a key as running. On an error the call must not be dispatched, and the outcome is that of the key.
func (k *Table) Begin(
	team, key string, digest [sha256.Size]byte, ticket mtticket.Ticket, now time.Time,
) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Begin(team, key, digest, ticket.Expiry, k.monotonicTime(now))
}

// OutcomeOrClose returns the outcome of a key. It closes a key that was never used, so that it can't be dispatched later.
func (k *Table) OutcomeOrClose(team, key string, ticket mtticket.Ticket, now time.Time) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Settle(team, key, ticket.Expiry, k.monotonicTime(now))
}

// BeginClaimed registers a key that this instance has claimed on the log as running. On an error the call must not be
// dispatched.
func (k *Table) BeginClaimed(team, key string, digest [sha256.Size]byte, now time.Time) (mtoutcome.Outcome, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now = k.monotonicTime(now)
	return k.table.Begin(team, key, digest, now.Add(ticketLifetime), now)
}

// CloseKey closes a key whose claim failed, so that later lookups report it as not run instead of unknown.
func (k *Table) CloseKey(team, key string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now = k.monotonicTime(now)
	// If the table is full, the key stays unknown, which is correct too.
	_, _ = k.table.Settle(team, key, now.Add(ticketLifetime), now)
}

// Lookup returns the outcome of a key that an incarnation claimed on the log; it is unknown for any incarnation but
// this one.
func (k *Table) Lookup(team, key string, incarnation uint64) mtoutcome.Outcome {
	if incarnation != k.incarnation {
		return mtoutcome.Unknown
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Lookup(team, key)
}

// monotonicTime returns the start time plus the time since then on the monotonic clock.
//
// A wall clock that steps back must not make an expired ticket valid again, because its keys have been deleted.
func (k *Table) monotonicTime(now time.Time) time.Time {
	return k.started.Add(now.Sub(k.started))
}

// End records the outcome of a key that Begin or BeginClaimed registered.
func (k *Table) End(team, key string, outcome mtoutcome.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.End(team, key, outcome)
}

// Sweep deletes the keys that can no longer be dispatched.
func (k *Table) Sweep(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Sweep(k.monotonicTime(now))
}

// Len returns the number of keys in the table.
func (k *Table) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Len()
}
