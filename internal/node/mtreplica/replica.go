package mtreplica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/core/mtledger"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// Replica is the local replica of the configuration log. It is safe for concurrent use; Rules costs one atomic load.
type Replica struct {
	mu     sync.Mutex
	ledger *mtledger.Ledger
	rules  atomic.Pointer[mtrules.Rules]
	ready  atomic.Bool
	// confirmed is when the state was last confirmed as current, in nanoseconds of Unix time.
	confirmed atomic.Int64
	// advanced is closed and replaced when a further offset is applied.
	advanced chan struct{}
}

// NewReplica returns the empty state of an instance that has read nothing from the log.
func NewReplica() *Replica {
	state := &Replica{
		ledger:   mtledger.NewLedger(),
		advanced: make(chan struct{}),
	}
	state.rules.Store(mtrules.NewRules(nil))
	return state
}

// Rules returns the rules in force.
func (s *Replica) Rules() *mtrules.Rules {
	return s.rules.Load()
}

// Apply applies entries of the log in their order. It skips an entry that is not a valid record, and returns an error
// if an entry does not follow the last one applied.
func (s *Replica) Apply(entries []*platformv1.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, entry := range entries {
		record := &recordv1.Record{}
		if err := proto.Unmarshal(entry.GetData(), record); err != nil {
			s.ledger.Skip(entry.GetOffset())
			continue
		}
		accepted, err := s.ledger.Apply(entry.GetOffset(), record)
		if err != nil {
			return err
		}
		changed = changed || accepted
	}
	s.update(changed, len(entries) > 0)
	return nil
}

// Merge merges a snapshot from the log or from a peer into the state.
func (s *Replica) Merge(snapshot *recordv1.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.ledger.NextOffset()
	changed := s.ledger.Merge(snapshot)
	s.update(changed, s.ledger.NextOffset() > previous)
}

// update recomputes the rules after a change and notifies the waiters after an advance; s.mu must be held.
func (s *Replica) update(changed, hasAdvanced bool) {
	if changed {
		s.rules.Store(mtrules.NewRules(s.ledger.SnapshotSince(0)))
	}
	if hasAdvanced {
		close(s.advanced)
		s.advanced = make(chan struct{})
	}
}

// Advanced returns a channel that is closed when a further offset is applied.
func (s *Replica) Advanced() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.advanced
}

// NextOffset returns the offset up to which this instance has applied the log, which is the next offset that it needs.
func (s *Replica) NextOffset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.NextOffset()
}

// CheckLogEnd returns an error if the log ends before the last entry applied, so that it can't be the log that was read;
// next is the offset after the last entry of the log.
func (s *Replica) CheckLogEnd(next uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CheckLogEnd(next)
}

// SnapshotSince returns a snapshot of the versions that were set at or after an offset.
func (s *Replica) SnapshotSince(offset uint64) *recordv1.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.SnapshotSince(offset)
}

// CurrentVersion returns the current version of the record with a key, or nil.
func (s *Replica) CurrentVersion(key string) *recordv1.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Version(key)
}

// ChangeResult returns the offset of a change on the log and whether it was accepted; known is false if its result is not
// stored.
func (s *Replica) ChangeResult(id string) (offset uint64, accepted, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.ChangeResult(id)
}

// ConfirmCurrent records that the log or a peer confirmed the state as current at the time now.
func (s *Replica) ConfirmCurrent(now time.Time) {
	s.confirmed.Store(now.UnixNano())
	s.ready.Store(true)
}

// IsReady reports whether the state has been confirmed as current at least once.
func (s *Replica) IsReady() bool {
	return s.ready.Load()
}

// TimeSinceConfirmed returns the time since the log or a peer last confirmed the state as current.
func (s *Replica) TimeSinceConfirmed(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, s.confirmed.Load()))
}

// IsGap reports whether an error of Apply means that entries before the given ones are missing.
func IsGap(err error) bool {
	return errorx.IsOfType(err, mtledger.Gap)
}
