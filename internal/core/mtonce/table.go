// A key passes through these states and never back:
//
//	absent -> running -> answered | unknown | notrun
//	absent -> notrun   (closed for another instance that asked)
//
// A key that ended as not run stays closed, so a resend of it is refused and the caller takes a new key. A live key is
// never evicted: a full table refuses new keys. A key is forgotten only after its ticket has expired and the longest
// call that could have started under it is over; from then on its ticket is refused, so it can't run again.
// Each key costs one map entry and one 72-byte value; the sweep is amortised over expiry buckets of one second.

package mtonce

import (
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// Digest is the hash of a call's method and body.
type digest = [sha256.Size]byte

var (
	namespace = errorx.NewNamespace("once")
	// Full is the type of the error for a table or a team without room; the call did not run.
	Full = namespace.NewType("full")
	// Mismatch is the type of the error for a key that came with another body before.
	Mismatch = namespace.NewType("mismatch")
	// Seen is the type of the error for a key that was begun or closed before.
	Seen = namespace.NewType("seen")
	// Foreign is the type of the error for a key whose ticket expires later than any ticket given.
	Foreign = namespace.NewType("foreign")
	// Expired is the type of the error for a key whose ticket has expired.
	Expired = namespace.NewType("expired")
)

// Table holds the state of keys per team.
type Table struct {
	limit     int
	teamLimit int
	life      time.Duration
	grace     time.Duration
	keys      map[identity]*entry
	teams     map[string]int
	buckets   map[int64][]identity
	swept     int64
}

type identity struct {
	team string
	key  string
}

type entry struct {
	outcome mtoutcome.Outcome
	running bool
	closed  bool
	digest  digest
}

// Option changes a table under construction.
type Option func(*Table)

// WithLimits bounds the keys in all and of one team.
func WithLimits(all, team int) Option {
	return func(t *Table) {
		t.limit = all
		t.teamLimit = team
	}
}

// WithLife sets how long a ticket is valid after it was given.
func WithLife(life time.Duration) Option {
	return func(t *Table) {
		t.life = life
	}
}

// WithGrace sets how long a key is kept after its ticket has expired.
func WithGrace(grace time.Duration) Option {
	return func(t *Table) {
		t.grace = grace
	}
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	table := &Table{
		limit:     1 << 20,
		teamLimit: 1 << 18,
		life:      5 * time.Minute,
		grace:     time.Minute,
		keys:      map[identity]*entry{},
		teams:     map[string]int{},
		buckets:   map[int64][]identity{},
	}
	for _, option := range options {
		option(table)
	}
	return table
}

// Begin takes a key for dispatch. An error means that the call must not be dispatched, and outcome is what to tell.
func (t *Table) Begin(team, key string, sum digest, expiry, now time.Time) (mtoutcome.Outcome, error) {
	id := identity{
		team: team,
		key:  key,
	}
	if found := t.keys[id]; found != nil {
		return t.repeat(found, sum)
	}
	if outcome, err := t.valid(expiry, now); err != nil {
		return outcome, err
	}
	if err := t.room(team); err != nil {
		return mtoutcome.NotRun, err
	}
	t.add(id, expiry, &entry{
		outcome: mtoutcome.Unknown,
		running: true,
		digest:  sum,
	})
	return mtoutcome.Unknown, nil
}

func (t *Table) repeat(found *entry, sum digest) (mtoutcome.Outcome, error) {
	if found.digest != sum && !found.closed {
		return mtoutcome.NotRun, Mismatch.New("the key came before with another method or body; this call did not run")
	}
	if found.running {
		return mtoutcome.Unknown, Seen.New("the call with this key is still running")
	}
	return found.outcome, Seen.New("the call with this key has ended")
}

// valid refuses tickets under which the table may have forgotten a key, and tickets that it can't have given.
//
// A ticket of the second kind was of that kind at any earlier moment too, so none of its keys ever ran.
func (t *Table) valid(expiry, now time.Time) (mtoutcome.Outcome, error) {
	if now.After(expiry) {
		return mtoutcome.Unknown, Expired.New("the ticket expired at %s", expiry.UTC().Format(time.RFC3339))
	}
	if expiry.After(now.Add(t.life)) {
		return mtoutcome.NotRun, Foreign.New("the ticket expires at %s, later than any that was given", expiry.UTC().Format(time.RFC3339))
	}
	return "", nil
}

func (t *Table) room(team string) error {
	if len(t.keys) >= t.limit {
		return Full.New("%d keys are kept, the table is full", len(t.keys))
	}
	if t.teams[team] >= t.teamLimit {
		return Full.New("%d keys of the team are kept, expected fewer than %d", t.teams[team], t.teamLimit)
	}
	return nil
}

func (t *Table) add(id identity, expiry time.Time, added *entry) {
	bucket := expiry.Add(t.grace).Unix() + 1
	if t.swept == 0 || bucket < t.swept {
		t.swept = bucket
	}
	t.keys[id] = added
	t.teams[id.team]++
	t.buckets[bucket] = append(t.buckets[bucket], id)
}

// End records the outcome of a key that Begin took.
func (t *Table) End(team, key string, outcome mtoutcome.Outcome) {
	found := t.keys[identity{
		team: team,
		key:  key,
	}]
	if found == nil || !found.running {
		return
	}
	found.running = false
	found.outcome = outcome
}

// Settle returns the outcome of a key and closes a key that was never seen.
func (t *Table) Settle(team, key string, expiry, now time.Time) (mtoutcome.Outcome, error) {
	id := identity{
		team: team,
		key:  key,
	}
	if found := t.keys[id]; found != nil {
		return found.outcome, nil
	}
	if outcome, err := t.valid(expiry, now); err != nil {
		return outcome, err
	}
	if err := t.room(team); err != nil {
		return mtoutcome.Unknown, err
	}
	t.add(id, expiry, &entry{
		outcome: mtoutcome.NotRun,
		closed:  true,
	})
	return mtoutcome.NotRun, nil
}

// Lookup returns the outcome of a key, which is unknown when the key is not in the table.
func (t *Table) Lookup(team, key string) mtoutcome.Outcome {
	found := t.keys[identity{
		team: team,
		key:  key,
	}]
	if found == nil {
		return mtoutcome.Unknown
	}
	return found.outcome
}

// Sweep forgets keys that can't be dispatched any more.
func (t *Table) Sweep(now time.Time) {
	if len(t.buckets) == 0 {
		t.swept = 0
		return
	}
	for ; t.swept < now.Unix(); t.swept++ {
		for _, id := range t.buckets[t.swept] {
			t.forget(id)
		}
		delete(t.buckets, t.swept)
	}
}

func (t *Table) forget(id identity) {
	found := t.keys[id]
	if found == nil {
		return
	}
	if found.running {
		next := t.swept + int64(t.grace/time.Second) + 1
		t.buckets[next] = append(t.buckets[next], id)
		return
	}
	delete(t.keys, id)
	t.teams[id.team]--
	if t.teams[id.team] == 0 {
		delete(t.teams, id.team)
	}
}

// Len returns the number of keys kept.
func (t *Table) Len() int {
	return len(t.keys)
}
