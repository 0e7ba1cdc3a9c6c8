package mtgateway

import "github.com/mangotack/mangotack/internal/core/mtreplication"

// maxHistoryChanges is the number of changes that are stored for instances that have missed some; a feed of 850
// endpoints changes at most some hundred times a second.
const maxHistoryChanges = 1000

// changeHistory stores the latest changes of a feed in the order of their offsets.
type changeHistory struct {
	batches []mtreplication.Batch
	count   int
}

// add appends an accepted batch.
func (h *changeHistory) add(batch mtreplication.Batch) {
	if batch.Snapshot {
		h.batches, h.count = nil, 0
		return
	}
	h.batches = append(h.batches, batch)
	h.count += len(batch.Changes)
	for h.count > maxHistoryChanges {
		h.count -= len(h.batches[0].Changes)
		h.batches = h.batches[1:]
	}
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
