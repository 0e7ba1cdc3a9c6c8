// A ledger is a pure fold over the log. Each key has a version that only rises:
//
//	offset 4: contract/acme amends 0 -> version 1, accepted
//	offset 5: contract/acme amends 1 -> version 2, accepted
//	offset 6: contract/acme amends 1 -> refused, because offset 5 amended version 1 first
//
// All readers see the same order, so all refuse the same records and no reader needs a vote. A version number of a key
// therefore stands for one content everywhere, and merging two ledgers means keeping the higher version of each key.
// A duplicate of an accepted change amends a version that is gone, so the same rule refuses it. The results kept per id
// serve only the publisher's question; they never decide, because a reader that started from a snapshot lacks them.
// Applying a record costs one map operation; a snapshot copies references, not records.

package mtledger

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// settledLimit bounds the number of change ids whose result is kept.
const settledLimit = 4096

var (
	namespace = errorx.NewNamespace("ledger")
	// Gap is the type of the error for a record that does not follow the last one applied.
	Gap = namespace.NewType("gap")
	// Backwards is the type of the error for a log that ends before the last record applied.
	Backwards = namespace.NewType("backwards")
)

// Ledger is the state of all keys up to an offset of the log.
type Ledger struct {
	applied  uint64
	versions map[string]*recordv1.Version
	settled  map[string]settlement
	order    []string
}

type settlement struct {
	offset   uint64
	accepted bool
}

// NewLedger returns an empty ledger that expects offset 0 next.
func NewLedger() *Ledger {
	return &Ledger{
		versions: map[string]*recordv1.Version{},
		settled:  map[string]settlement{},
	}
}

// Applied returns the offset of the next record that the ledger needs.
func (l *Ledger) Applied() uint64 {
	return l.applied
}

// Apply folds in the record at an offset and reports whether it changed its key.
func (l *Ledger) Apply(offset uint64, record *recordv1.Record) (bool, error) {
	if offset < l.applied {
		return false, nil
	}
	if offset > l.applied {
		return false, Gap.New("record at offset %d, expected offset %d", offset, l.applied)
	}
	l.applied = offset + 1
	if snapshot := record.GetSnapshot(); snapshot != nil {
		return l.merge(snapshot.GetVersions()), nil
	}
	if len(mtrecord.Check(record)) > 0 {
		return false, nil
	}
	accepted := l.amend(offset, record)
	if _, duplicate := l.settled[record.GetId()]; accepted || !duplicate {
		l.settle(record.GetId(), settlement{
			offset:   offset,
			accepted: accepted,
		})
	}
	return accepted, nil
}

func (l *Ledger) amend(offset uint64, record *recordv1.Record) bool {
	key := mtrecord.Key(record)
	present := l.versions[key].GetNumber()
	if record.GetAmends() != present {
		return false
	}
	l.versions[key] = &recordv1.Version{
		Number: present + 1,
		Offset: offset,
		Record: record,
	}
	return true
}

func (l *Ledger) settle(id string, result settlement) {
	l.settled[id] = result
	l.order = append(l.order, id)
	if len(l.order) > settledLimit {
		delete(l.settled, l.order[0])
		l.order = l.order[1:]
	}
}

// Skip counts an offset as applied whose entry is not a valid record.
func (l *Ledger) Skip(offset uint64) {
	if offset == l.applied {
		l.applied++
	}
}

// Merge takes in the state of a snapshot or a peer and reports whether a key changed.
func (l *Ledger) Merge(snapshot *recordv1.Snapshot) bool {
	changed := l.merge(snapshot.GetVersions())
	l.applied = max(l.applied, snapshot.GetThrough())
	return changed
}

func (l *Ledger) merge(versions []*recordv1.Version) bool {
	changed := false
	for _, version := range versions {
		key := mtrecord.Key(version.GetRecord())
		if key == "" || version.GetNumber() <= l.versions[key].GetNumber() {
			continue
		}
		l.versions[key] = version
		l.settle(version.GetRecord().GetId(), settlement{
			offset:   version.GetOffset(),
			accepted: true,
		})
		changed = true
	}
	return changed
}

// Since returns the versions that records from an offset on have brought, in the order of their keys.
func (l *Ledger) Since(offset uint64) *recordv1.Snapshot {
	snapshot := &recordv1.Snapshot{
		Through: l.applied,
	}
	for _, version := range l.versions {
		if version.GetOffset() >= offset {
			snapshot.Versions = append(snapshot.Versions, version)
		}
	}
	slices.SortFunc(snapshot.Versions, func(a, b *recordv1.Version) int {
		return strings.Compare(mtrecord.Key(a.GetRecord()), mtrecord.Key(b.GetRecord()))
	})
	return snapshot
}

// Version returns the present version of a key, or nil.
func (l *Ledger) Version(key string) *recordv1.Version {
	return l.versions[key]
}

// Settled reports where the change with an id stands on the log and whether it was accepted.
func (l *Ledger) Settled(id string) (offset uint64, accepted, known bool) {
	result, known := l.settled[id]
	return result.offset, result.accepted, known
}

// Check returns an error when a log that ends before offset next can't be the one that the ledger was read from.
func (l *Ledger) Check(next uint64) error {
	if next < l.applied {
		return Backwards.New("the log ends at offset %d, offset %d was applied", next, l.applied)
	}
	return nil
}
