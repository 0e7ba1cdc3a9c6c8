// A key goes through these states and never back:
//
//	absent -> running -> answered | unknown | notrun
//	absent -> notrun   (closed by Settle because another instance asked for the outcome)
//
// A key whose outcome is notrun stays in the table, so a repeated call with it is refused and the caller must take a
// new key. A full table refuses new keys; it never evicts one. A key is removed only after its ticket has expired and
// the longest call that could have started with it has ended. From then on its ticket is refused, so the key can't run
// again. Each key costs one map entry and one 72-byte value. The sweep is amortised over expiry buckets of one second.

package mtdedup

import (
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// digest is the hash of the method and body of a call.
type digest = [sha256.Size]byte

var (
	namespace = errorx.NewNamespace("once")
	// TableFull is the type of the error for a new key when the table or the part of the team is full; the call did not run.
	TableFull = namespace.NewType("full")
	// DigestMismatch is the type of the error for a key that was used before with another method or body.
	DigestMismatch = namespace.NewType("mismatch")
	// Duplicate is the type of the error for a key that was begun or closed before.
	Duplicate = namespace.NewType("seen")
	// ExpiryTooLate is the type of the error for a key whose ticket expires later than any issued ticket can.
	ExpiryTooLate = namespace.NewType("foreign")
	// Expired is the type of the error for a key whose ticket has expired.
	Expired = namespace.NewType("expired")
)

// Table holds the states of keys; each key belongs to a team. It is not safe for concurrent use.
type Table struct {
	maxKeys     int
	maxTeamKeys int
	ticketTTL   time.Duration
	// retention is how long a key is kept after its ticket has expired.
	retention   time.Duration
	keys        map[teamKey]*keyState
	keysPerTeam map[string]int
	// expiryBuckets holds the keys to remove by the second of Unix time in which their retention is over.
	expiryBuckets map[int64][]teamKey
	// nextBucket is the first second that Sweep has not handled; 0 while nothing is to be swept.
	nextBucket int64
}

type teamKey struct {
	team string
	key  string
}

type keyState struct {
	outcome mtoutcome.Outcome
	running bool
	// closed is set when Settle closed the key, so no call with it ran.
	closed bool
	digest digest
}

// Option configures a new table.
type Option func(*Table)

// WithLimits sets the maximum number of keys in the table and of each team.
func WithLimits(maxKeys, maxTeamKeys int) Option {
	return func(t *Table) {
		t.maxKeys = maxKeys
		t.maxTeamKeys = maxTeamKeys
	}
}

// WithTicketTTL sets how long a ticket is valid after it was issued.
func WithTicketTTL(ttl time.Duration) Option {
	return func(t *Table) {
		t.ticketTTL = ttl
	}
}

// WithRetention sets how long a key is kept after its ticket has expired.
func WithRetention(retention time.Duration) Option {
	return func(t *Table) {
		t.retention = retention
	}
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	table := &Table{
		maxKeys:       1 << 20,
		maxTeamKeys:   1 << 18,
		ticketTTL:     5 * time.Minute,
		retention:     time.Minute,
		keys:          map[teamKey]*keyState{},
		keysPerTeam:   map[string]int{},
		expiryBuckets: map[int64][]teamKey{},
	}
	for _, option := range options {
		option(table)
	}
	return table
}

// Begin records that the call with a key is about to be dispatched. After an error the call must not be dispatched, and
// the outcome is the one to report to the caller.
func (t *Table) Begin(team, key string, callDigest digest, expiry, now time.Time) (mtoutcome.Outcome, error) {
	id := teamKey{
		team: team,
		key:  key,
	}
	if found := t.keys[id]; found != nil {
		return t.repeatedOutcome(found, callDigest)
	}
	if outcome, err := t.checkExpiry(expiry, now); err != nil {
		return outcome, err
	}
	if err := t.checkCapacity(team); err != nil {
		return mtoutcome.NotRun, err
	}
	t.insert(id, expiry, &keyState{
		outcome: mtoutcome.Unknown,
		running: true,
		digest:  callDigest,
	})
	return mtoutcome.Unknown, nil
}

// repeatedOutcome returns the outcome and the error for a call whose key is in the table.
func (t *Table) repeatedOutcome(found *keyState, callDigest digest) (mtoutcome.Outcome, error) {
	if found.digest != callDigest && !found.closed {
		return mtoutcome.NotRun, DigestMismatch.New("the key came before with another method or body; this call did not run")
	}
	if found.running {
		return mtoutcome.Unknown, Duplicate.New("the call with this key is still running")
	}
	return found.outcome, Duplicate.New("the call with this key has ended")
}

// checkExpiry refuses expired tickets, whose keys may have been removed from the table, and tickets that expire too
// late to have been issued by this instance.
//
// A ticket that expires too late now did so at any earlier time too, so no call with one of its keys ever ran.
func (t *Table) checkExpiry(expiry, now time.Time) (mtoutcome.Outcome, error) {
	if now.After(expiry) {
		return mtoutcome.Unknown, Expired.New("the ticket expired at %s", expiry.UTC().Format(time.RFC3339))
	}
	if expiry.After(now.Add(t.ticketTTL)) {
		return mtoutcome.NotRun, ExpiryTooLate.New(
			"the ticket expires at %s, later than any that was given", expiry.UTC().Format(time.RFC3339))
	}
	return "", nil
}

// checkCapacity returns an error of type [Full] if the table has no room for another key of the team.
func (t *Table) checkCapacity(team string) error {
	if len(t.keys) >= t.maxKeys {
		return TableFull.New("%d keys are kept, the table is full", len(t.keys))
	}
	if t.keysPerTeam[team] >= t.maxTeamKeys {
		return TableFull.New("%d keys of the team are kept, expected fewer than %d", t.keysPerTeam[team], t.maxTeamKeys)
	}
	return nil
}

func (t *Table) insert(id teamKey, expiry time.Time, state *keyState) {
	bucket := expiry.Add(t.retention).Unix() + 1
	if t.nextBucket == 0 || bucket < t.nextBucket {
		t.nextBucket = bucket
	}
	t.keys[id] = state
	t.keysPerTeam[id.team]++
	t.expiryBuckets[bucket] = append(t.expiryBuckets[bucket], id)
}

// End records the outcome of a call that Begin recorded; it has no effect on a key that is not running.
func (t *Table) End(team, key string, outcome mtoutcome.Outcome) {
	found := t.keys[teamKey{
		team: team,
		key:  key,
	}]
	if found == nil || !found.running {
		return
	}
	found.running = false
	found.outcome = outcome
}

// Settle returns the outcome of a key. A key that is not in the table is closed first, so no call with it can run, and
// its outcome is notrun. After an error the key was not closed.
func (t *Table) Settle(team, key string, expiry, now time.Time) (mtoutcome.Outcome, error) {
	id := teamKey{
		team: team,
		key:  key,
	}
	if found := t.keys[id]; found != nil {
		return found.outcome, nil
	}
	if outcome, err := t.checkExpiry(expiry, now); err != nil {
		return outcome, err
	}
	if err := t.checkCapacity(team); err != nil {
		return mtoutcome.Unknown, err
	}
	t.insert(id, expiry, &keyState{
		outcome: mtoutcome.NotRun,
		closed:  true,
	})
	return mtoutcome.NotRun, nil
}

// Lookup returns the outcome of a key, or unknown if the key is not in the table.
func (t *Table) Lookup(team, key string) mtoutcome.Outcome {
	found := t.keys[teamKey{
		team: team,
		key:  key,
	}]
	if found == nil {
		return mtoutcome.Unknown
	}
	return found.outcome
}

// Sweep removes the keys whose retention is over, except those of calls that still run.
func (t *Table) Sweep(now time.Time) {
	if len(t.expiryBuckets) == 0 {
		t.nextBucket = 0
		return
	}
	for ; t.nextBucket < now.Unix(); t.nextBucket++ {
		for _, id := range t.expiryBuckets[t.nextBucket] {
			t.removeExpired(id)
		}
		delete(t.expiryBuckets, t.nextBucket)
	}
}

// removeExpired removes a key, or checks it again after another retention if its call still runs.
func (t *Table) removeExpired(id teamKey) {
	found := t.keys[id]
	if found == nil {
		return
	}
	if found.running {
		nextCheck := t.nextBucket + int64(t.retention/time.Second) + 1
		t.expiryBuckets[nextCheck] = append(t.expiryBuckets[nextCheck], id)
		return
	}
	delete(t.keys, id)
	t.keysPerTeam[id.team]--
	if t.keysPerTeam[id.team] == 0 {
		delete(t.keysPerTeam, id.team)
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int {
	return len(t.keys)
}
