package mtgateway

import "github.com/mangotack/mangotack/internal/core/mtnews"

// recentMost is the number of changes that are kept for instances that have missed some; a feed of 850 endpoints changes some
// hundred times a second at most.
const recentMost = 1000

// recent holds the last changes of a feed in the order of their offsets.
type recent struct {
	batches []mtnews.Batch
	count   int
}

// add takes in a batch that was accepted.
func (r *recent) add(batch mtnews.Batch) {
	if batch.Whole {
		r.batches, r.count = nil, 0
		return
	}
	r.batches = append(r.batches, batch)
	r.count += len(batch.Changes)
	for r.count > recentMost {
		r.count -= len(r.batches[0].Changes)
		r.batches = r.batches[1:]
	}
}

// since returns the changes after an offset; found is false when they are not all kept. The first of them may be known to the
// caller already.
func (r *recent) since(offset uint64) (changes []mtnews.Change, found bool) {
	for _, batch := range r.batches {
		found = found || batch.From <= offset
		if found && batch.To > offset {
			changes = append(changes, batch.Changes...)
		}
	}
	return changes, len(changes) > 0
}
