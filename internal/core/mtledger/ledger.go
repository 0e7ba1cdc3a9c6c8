// A ledger is a deterministic function of the log. Each key has a version number that only increases:
//
//	offset 4: contract/acme amends 0 -> version 1, accepted
//	offset 5: contract/acme amends 1 -> version 2, accepted
//	offset 6: contract/acme amends 1 -> refused, because offset 5 amended version 1 first
//
// All readers see the records in the same order, so all refuse the same records and no vote is needed. So a version
// number of a key identifies the same content on every instance, and merging two ledgers keeps the higher version of
// each key. A duplicate of an accepted change amends a version that is no longer the current one, so it is refused by
// the same rule. The results by change ID only answer the publisher; Apply does not use them to accept or refuse a
// record, because a reader that started from a snapshot doesn't have them. Applying a record costs one map operation; a
// snapshot copies references, not records.

package mtledger

import (
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// maxResults bounds the number of change IDs whose result is kept.
const maxResults = 4096

var (
	namespace = errorx.NewNamespace("ledger")
	// Gap is the type of the error for a record whose offset is higher than the next one expected.
	Gap = namespace.NewType("gap")
	// LogTooShort is the type of the error for a log that ends before the last applied record.
	LogTooShort = namespace.NewType("backwards")
)

// Ledger holds the current version of each key up to an offset of the log. It is not safe for concurrent use.
type Ledger struct {
	nextOffset uint64
	versions   map[string]*recordv1.Version
	// results holds the results of the latest changes by change ID, and resultOrder their IDs, the oldest first.
	results     map[string]changeResult
	resultOrder []string
}

type changeResult struct {
	offset   uint64
	accepted bool
}

// NewLedger returns an empty ledger whose next offset is 0.
func NewLedger() *Ledger {
	return &Ledger{
		versions: map[string]*recordv1.Version{},
		results:  map[string]changeResult{},
	}
}

// NextOffset returns the offset of the next record to apply.
func (l *Ledger) NextOffset() uint64 {
	return l.nextOffset
}

// Apply applies the record at an offset and reports whether a key changed. A record below the next offset has no
// effect. A record above it returns an error of type [Gap].
func (l *Ledger) Apply(offset uint64, record *recordv1.Record) (bool, error) {
	if offset < l.nextOffset {
		return false, nil
	}
	if offset > l.nextOffset {
		return false, Gap.New("record at offset %d, expected offset %d", offset, l.nextOffset)
	}
	l.nextOffset = offset + 1
	if snapshot := record.GetSnapshot(); snapshot != nil {
		return l.merge(snapshot.GetVersions()), nil
	}
	if len(mtrecord.Check(record)) > 0 {
		return false, nil
	}
	accepted := l.amend(offset, record)
	if _, duplicate := l.results[record.GetId()]; accepted || !duplicate {
		l.recordResult(record.GetId(), changeResult{
			offset:   offset,
			accepted: accepted,
		})
	}
	return accepted, nil
}

// amend stores the record as the next version of its key if it amends the current version, and reports whether it does.
func (l *Ledger) amend(offset uint64, record *recordv1.Record) bool {
	key := mtrecord.Key(record)
	current := l.versions[key].GetNumber()
	if record.GetAmends() != current {
		return false
	}
	l.versions[key] = &recordv1.Version{
		Number: current + 1,
		Offset: offset,
		Record: record,
	}
	return true
}

func (l *Ledger) recordResult(id string, result changeResult) {
	l.results[id] = result
	l.resultOrder = append(l.resultOrder, id)
	if len(l.resultOrder) > maxResults {
		delete(l.results, l.resultOrder[0])
		l.resultOrder = l.resultOrder[1:]
	}
}

// Skip moves past the next offset if that is the given one, whose log entry is not a valid record.
func (l *Ledger) Skip(offset uint64) {
	if offset == l.nextOffset {
		l.nextOffset++
	}
}

// Merge takes the higher version of each key from a snapshot of the log or of a peer, and reports whether a key
// changed.
func (l *Ledger) Merge(snapshot *recordv1.Snapshot) bool {
	changed := l.merge(snapshot.GetVersions())
	l.nextOffset = max(l.nextOffset, snapshot.GetThrough())
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
		l.recordResult(version.GetRecord().GetId(), changeResult{
			offset:   version.GetOffset(),
			accepted: true,
		})
		changed = true
	}
	return changed
}

// SnapshotSince returns the current versions that were accepted at an offset or later, sorted by key.
func (l *Ledger) SnapshotSince(offset uint64) *recordv1.Snapshot {
	snapshot := &recordv1.Snapshot{
		Through: l.nextOffset,
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

// Version returns the current version of a key, or nil if there is none.
func (l *Ledger) Version(key string) *recordv1.Version {
	return l.versions[key]
}

// ChangeResult returns the offset of the change with an ID and whether it was accepted. It reports known as false for a
// change that was not applied or whose result is no longer kept.
func (l *Ledger) ChangeResult(id string) (offset uint64, accepted, known bool) {
	result, known := l.results[id]
	return result.offset, result.accepted, known
}

// CheckLogEnd returns an error of type [LogTooShort] if the log, whose next free offset is next, lacks records that the
// ledger has applied.
func (l *Ledger) CheckLogEnd(next uint64) error {
	if next < l.nextOffset {
		return LogTooShort.New("the log ends at offset %d, offset %d was applied", next, l.nextOffset)
	}
	return nil
}
