package mtgateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtnews"
)

func step(from, to uint64) mtnews.Batch {
	batch := mtnews.Batch{
		From: from,
		To:   to,
	}
	for offset := from; offset < to; offset++ {
		batch.Changes = append(batch.Changes, mtnews.Change{
			Key: fmt.Sprint(offset),
		})
	}
	return batch
}

func TestRecentChangesReachFromAnOffset(t *testing.T) {
	kept := recent{}
	for _, batch := range []mtnews.Batch{step(10, 12), step(12, 13), step(13, 16)} {
		kept.add(batch)
	}
	changes, found := kept.since(12)
	require.True(t, found)
	require.Len(t, changes, 4)
	require.Equal(t, "12", changes[0].Key)
	changes, found = kept.since(14)
	require.True(t, found)
	require.Len(t, changes, 3, "a batch is sent whole")
	_, found = kept.since(9)
	require.False(t, found, "what came before is not kept")
	_, found = kept.since(16)
	require.False(t, found, "nothing is missing")
	kept.add(mtnews.Batch{
		To:    30,
		Whole: true,
	})
	_, found = kept.since(14)
	require.False(t, found, "the whole has replaced what was kept")
}

func TestRecentChangesAreBounded(t *testing.T) {
	kept := recent{}
	for offset := range uint64(3 * recentMost) {
		kept.add(step(offset, offset+1))
	}
	require.Len(t, kept.batches, recentMost)
	_, found := kept.since(1)
	require.False(t, found)
	changes, found := kept.since(3*recentMost - 2)
	require.True(t, found)
	require.Len(t, changes, 2)
}
