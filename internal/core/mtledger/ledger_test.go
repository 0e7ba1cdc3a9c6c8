package mtledger_test

import (
	"fmt"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtledger"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

func newMark(id, instance string, amends uint64, leaving bool) *recordv1.Record {
	return &recordv1.Record{
		Id:     id,
		Amends: amends,
		Body: &recordv1.Record_Mark{
			Mark: &recordv1.Mark{
				Instance: instance,
				Leaving:  leaving,
			},
		},
	}
}

// replayLog is a model of the ledger that applies the whole log from offset 0 and ignores snapshots.
func replayLog(log []*recordv1.Record) map[string]*recordv1.Version {
	versions := map[string]*recordv1.Version{}
	for offset, record := range log {
		key := mtrecord.Key(record)
		if key == "" || versions[key].GetNumber() != record.GetAmends() {
			continue
		}
		versions[key] = &recordv1.Version{
			Number: record.GetAmends() + 1,
			Offset: uint64(offset),
			Record: record,
		}
	}
	return versions
}

// reader is a ledger that reads a log with limited retention, restarts and merges the state of its peers.
type reader struct {
	ledger      *mtledger.Ledger
	maxVersions map[string]uint64
}

// read applies at most count records, starting from a snapshot if the next record is no longer on the log.
func (r *reader) read(t *rapid.T, log []*recordv1.Record, oldest int, count int) {
	for range count {
		offset := int(r.ledger.NextOffset())
		if offset < oldest && !r.bootstrap(log, oldest) {
			return
		}
		offset = int(r.ledger.NextOffset())
		if offset >= len(log) {
			return
		}
		_, err := r.ledger.Apply(uint64(offset), log[offset])
		require.NoError(t, err)
		r.requireNoDecrease(t)
	}
}

// bootstrap merges the newest snapshot on the log after which no record is missing, and reports whether there is one.
func (r *reader) bootstrap(log []*recordv1.Record, oldest int) bool {
	for offset := len(log) - 1; offset >= oldest; offset-- {
		if snapshot := log[offset].GetSnapshot(); snapshot != nil && int(snapshot.GetThrough()) >= oldest {
			r.ledger.Merge(snapshot)
			return true
		}
	}
	return false
}

// requireNoDecrease requires that the version number of no key has decreased.
func (r *reader) requireNoDecrease(t *rapid.T) {
	for _, version := range r.ledger.SnapshotSince(0).GetVersions() {
		key := mtrecord.Key(version.GetRecord())
		require.GreaterOrEqual(t, version.GetNumber(), r.maxVersions[key])
		r.maxVersions[key] = version.GetNumber()
	}
}

func TestReadersMatchFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*recordv1.Record
		oldest := 0
		readers := make([]*reader, 3)
		for i := range readers {
			readers[i] = &reader{ledger: mtledger.NewLedger(), maxVersions: map[string]uint64{}}
		}
		drawReader := func(label string) *reader {
			return readers[rapid.IntRange(0, len(readers)-1).Draw(t, label)]
		}
		// rapid draws actions by the order of their names: another name draws other sequences from the same seed.
		t.Repeat(map[string]func(*rapid.T){
			"amend": func(t *rapid.T) {
				instance := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "instance")
				amends := rapid.Uint64Range(0, 4).Draw(t, "amends")
				log = append(log,
					newMark(fmt.Sprint("id-", len(log)), instance, amends, rapid.Bool().Draw(t, "leaving")))
			},
			"append again after a lost answer": func(t *rapid.T) {
				if len(log) > 0 {
					log = append(log, log[rapid.IntRange(oldest, len(log)-1).Draw(t, "again")])
				}
			},
			"snapshot": func(t *rapid.T) {
				writer := drawReader("snapshotter")
				if writer.ledger.NextOffset() > 0 {
					log = append(log, &recordv1.Record{
						Id:   fmt.Sprint("id-", len(log)),
						Body: &recordv1.Record_Snapshot{Snapshot: writer.ledger.SnapshotSince(0)},
					})
				}
			},
			"forget the oldest that a snapshot covers": func(*rapid.T) {
				for _, record := range log[oldest:] {
					if snapshot := record.GetSnapshot(); snapshot != nil {
						oldest = max(oldest, int(snapshot.GetThrough()))
						return
					}
				}
			},
			"read": func(t *rapid.T) {
				drawReader("reader").read(t, log, oldest, rapid.IntRange(1, 8).Draw(t, "count"))
			},
			"hear from a peer": func(t *rapid.T) {
				from, to := drawReader("from"), drawReader("to")
				to.ledger.Merge(proto.CloneOf(from.ledger.SnapshotSince(to.ledger.NextOffset())))
				to.requireNoDecrease(t)
			},
			"hear an old snapshot": func(t *rapid.T) {
				merging := drawReader("one")
				for _, record := range log {
					if snapshot := record.GetSnapshot(); snapshot != nil {
						merging.ledger.Merge(snapshot)
						merging.requireNoDecrease(t)
					}
				}
			},
			"restart": func(t *rapid.T) {
				restarted := drawReader("restarted")
				restarted.ledger = mtledger.NewLedger()
				restarted.maxVersions = map[string]uint64{}
			},
		})
		expected := replayLog(log)
		for _, reader := range readers {
			reader.read(t, log, oldest, 2*len(log)+1)
			require.EqualValues(t, len(log), reader.ledger.NextOffset())
			versions := reader.ledger.SnapshotSince(0).GetVersions()
			require.Len(t, versions, len(expected))
			for _, version := range versions {
				require.True(t, proto.Equal(expected[mtrecord.Key(version.GetRecord())], version),
					"key %s", mtrecord.Key(version.GetRecord()))
			}
		}
	})
}

func TestFirstAmendmentOfVersionIsAcceptedAndLaterOneRefused(t *testing.T) {
	ledger := mtledger.NewLedger()
	for offset, record := range []*recordv1.Record{
		newMark("a", "x", 0, true), newMark("b", "x", 1, false), newMark("c", "x", 1, true),
	} {
		_, err := ledger.Apply(uint64(offset), record)
		require.NoError(t, err)
	}
	_, accepted, known := ledger.ChangeResult("b")
	require.True(t, known && accepted)
	offset, accepted, known := ledger.ChangeResult("c")
	require.True(t, known)
	require.False(t, accepted)
	require.EqualValues(t, 2, offset)
	require.False(t, ledger.Version("mark/x").GetRecord().GetMark().GetLeaving())
}

func TestGapAndTruncatedLogAreRefused(t *testing.T) {
	ledger := mtledger.NewLedger()
	_, err := ledger.Apply(3, newMark("a", "x", 0, true))
	require.True(t, errorx.IsOfType(err, mtledger.Gap))
	_, err = ledger.Apply(0, newMark("a", "x", 0, true))
	require.NoError(t, err)
	require.True(t, errorx.IsOfType(ledger.CheckLogEnd(0), mtledger.LogTooShort))
	require.NoError(t, ledger.CheckLogEnd(1))
}
