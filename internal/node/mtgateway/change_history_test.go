package mtgateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtreplication"
)

func newBatch(from, to uint64) mtreplication.Batch {
	batch := mtreplication.Batch{
		From: from,
		To:   to,
	}
	for offset := from; offset < to; offset++ {
		batch.Changes = append(batch.Changes, mtreplication.Change{
			Key: fmt.Sprint(offset),
		})
	}
	return batch
}

func TestChangeHistoryReturnsChangesSinceOffset(t *testing.T) {
	history := changeHistory{}
	for _, batch := range []mtreplication.Batch{newBatch(10, 12), newBatch(12, 13), newBatch(13, 16)} {
		history.add(batch)
	}
	changes, found := history.since(12)
	require.True(t, found)
	require.Len(t, changes, 4)
	require.Equal(t, "12", changes[0].Key)
	changes, found = history.since(14)
	require.True(t, found)
	require.Len(t, changes, 3, "batches are returned whole")
	_, found = history.since(9)
	require.False(t, found, "earlier changes are not stored")
	_, found = history.since(16)
	require.False(t, found, "nothing is missing")
	history.add(mtreplication.Batch{
		To:       30,
		Snapshot: true,
	})
	_, found = history.since(14)
	require.False(t, found, "a full state clears the history")
}

func TestChangeHistoryIsLimited(t *testing.T) {
	history := changeHistory{}
	for offset := range uint64(3 * maxHistoryChanges) {
		history.add(newBatch(offset, offset+1))
	}
	require.Len(t, history.batches, maxHistoryChanges)
	_, found := history.since(1)
	require.False(t, found)
	changes, found := history.since(3*maxHistoryChanges - 2)
	require.True(t, found)
	require.Len(t, changes, 2)
}
