package mtstate

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

// State is safe for use by many goroutines; Rules costs one atomic load.
type State struct {
	mu     sync.Mutex
	ledger *mtledger.Ledger
	rules  atomic.Pointer[mtrules.Rules]
	ready  atomic.Bool
	fresh  atomic.Int64
	moved  chan struct{}
}

// NewState returns the state of an instance that has read nothing.
func NewState() *State {
	state := &State{
		ledger: mtledger.NewLedger(),
		moved:  make(chan struct{}),
	}
	state.rules.Store(mtrules.NewRules(nil))
	return state
}

// Rules returns the rules in force.
func (s *State) Rules() *mtrules.Rules {
	return s.rules.Load()
}

// Apply folds in entries of the log in their order.
func (s *State) Apply(entries []*platformv1.Entry) error {
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

// Merge takes in the state of a snapshot or a peer.
func (s *State) Merge(snapshot *recordv1.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.ledger.Applied()
	changed := s.ledger.Merge(snapshot)
	s.update(changed, s.ledger.Applied() > before)
}

func (s *State) update(changed, advanced bool) {
	if changed {
		s.rules.Store(mtrules.NewRules(s.ledger.Since(0)))
	}
	if advanced {
		close(s.moved)
		s.moved = make(chan struct{})
	}
}

// Moved returns a channel that is closed when a further offset is applied.
func (s *State) Moved() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.moved
}

// Applied returns the offset up to which the log is in force here.
func (s *State) Applied() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Applied()
}

// CheckEnd returns an error when a log that ends before offset next can't be the one that was read.
func (s *State) CheckEnd(next uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Check(next)
}

// Since returns what records from an offset on have brought.
func (s *State) Since(offset uint64) *recordv1.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Since(offset)
}

// Version returns the present version of a key, or nil.
func (s *State) Version(key string) *recordv1.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Version(key)
}

// Settled reports where a change stands on the log and whether it was accepted.
func (s *State) Settled(id string) (offset uint64, accepted, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Settled(id)
}

// Refresh records that the log or a peer confirmed at a moment that the state is current.
func (s *State) Refresh(now time.Time) {
	s.fresh.Store(now.UnixNano())
	s.ready.Store(true)
}

// IsReady reports whether the state has ever been complete.
func (s *State) IsReady() bool {
	return s.ready.Load()
}

// Age returns the time since the log or a peer last confirmed the state.
func (s *State) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, s.fresh.Load()))
}

// IsGap reports whether an error means that entries before the ones read are missing.
func IsGap(err error) bool {
	return errorx.IsOfType(err, mtledger.Gap)
}
