package mtgateway

import "github.com/mangotack/mangotack/internal/core/mtreplication"

// maxHistoryChanges is the number of changes that are stored for instances that have missed some; a feed of 850
// endpoints changes at most some hundred times a second.
const maxHistoryChanges = 1000

// changeBytes is the memory of a change besides its key and value.
const changeBytes = 96

// changeHistory stores the latest changes of a feed in the order of their offsets. An instance that has missed changes that
// are not stored any more gets all values instead.
type changeHistory struct {
	// maxBytes bounds the memory of the changes: 1,000 versions of a large configuration exceed that of the process.
	maxBytes int64
	batches  []mtreplication.Batch
	count    int
	bytes    int64
}

// add appends an accepted batch.
func (h *changeHistory) add(batch mtreplication.Batch) {
	if batch.Snapshot {
		h.batches, h.count, h.bytes = nil, 0, 0
		return
	}
	h.batches = append(h.batches, batch)
	h.count += len(batch.Changes)
	h.bytes += batchBytes(batch)
	for h.count > maxHistoryChanges || h.bytes > h.maxBytes {
		h.count -= len(h.batches[0].Changes)
		h.bytes -= batchBytes(h.batches[0])
		// The array behind the slice would keep the values until it is replaced.
		h.batches[0] = mtreplication.Batch{}
		h.batches = h.batches[1:]
	}
}

func batchBytes(batch mtreplication.Batch) int64 {
	bytes := changeBytes
	for _, change := range batch.Changes {
		bytes += changeBytes + len(change.Key) + len(change.Value)
	}
	return int64(bytes)
}

// since returns the changes after an offset; found is false when the history does not reach back to it or has none
// after it. The first changes may precede the offset, because batches are returned whole.
func (h *changeHistory) since(offset uint64) (changes []mtreplication.Change, found bool) {
	for _, batch := range h.batches {
		found = found || batch.From <= offset
		if found && batch.To > offset {
			changes = append(changes, batch.Changes...)
		}
	}
	return changes, len(changes) > 0
}
