// A request under which endpoints crash is kept from further ones. Each crash that this instance sees is a suspicion against
// all requests that it had in flight there; the other instances are told at once.

package mtgateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtfingerprint"
	"github.com/mangotack/mangotack/internal/core/mtquarantine"
)

// requestQuarantine is the quarantine of this instance; it is safe for concurrent use, and its mutex is a leaf.
type requestQuarantine struct {
	// size is the number of fingerprints: without any, requests need none.
	size atomic.Int64

	mu         sync.Mutex
	quarantine *mtquarantine.Quarantine
	// changed is closed and replaced when requests that are held should ask again.
	changed chan struct{}
}

func newRequestQuarantine() *requestQuarantine {
	return &requestQuarantine{
		quarantine: mtquarantine.New(),
		changed:    make(chan struct{}),
	}
}

func (q *requestQuarantine) isEmpty() bool {
	return q.size.Load() == 0
}

// update changes the quarantine and reports what the change returns; if that is true, held requests ask again.
func (q *requestQuarantine) update(change func(quarantine *mtquarantine.Quarantine) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := change(q.quarantine)
	q.size.Store(int64(q.quarantine.Len()))
	if changed {
		close(q.changed)
		q.changed = make(chan struct{})
	}
	return changed
}

// admit returns the decision on a request, and a channel that is closed when it should ask again.
func (q *requestQuarantine) admit(
	fingerprint mtfingerprint.Fingerprint, rank int, now time.Time,
) (mtquarantine.Admission, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Admit(fingerprint, rank, now), q.changed
}

func (q *requestQuarantine) isSuspected(fingerprint mtfingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.IsSuspected(fingerprint)
}

func (q *requestQuarantine) isQuarantined(fingerprint mtfingerprint.Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.IsQuarantined(fingerprint, now)
}

// wasQuarantined reports whether equal requests are quarantined, or were before the trial that goes on.
func (q *requestQuarantine) wasQuarantined(fingerprint mtfingerprint.Fingerprint) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	evidence := q.quarantine.Evidence(fingerprint)
	_, found := evidence.QuarantineEnd()
	return found
}

func (q *requestQuarantine) counts(now time.Time) (suspected, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Counts(now)
}

func (q *requestQuarantine) expire(now time.Time) {
	q.update(func(quarantine *mtquarantine.Quarantine) bool {
		quarantine.Expire(now)
		return false
	})
}
