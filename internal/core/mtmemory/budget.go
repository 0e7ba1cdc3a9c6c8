// The load pattern: hundreds of callers send requests of legal size whose cost in memory is many times their share, and stop
// just short of the end, while ordinary callers send small requests and now and then a large one.

package mtmemory

import "time"

const (
	// OrdinaryBytes is the cost up to which the only request of a connection may use the reserve.
	OrdinaryBytes = 96 << 10
	// ordinaryGrowingBytes is the same for a request whose size is not known. Otherwise large requests would fill the reserve while
	// they are small.
	ordinaryGrowingBytes = 32 << 10
	// UnreadBytes is what the kernel holds of a connection that waits.
	UnreadBytes = 24 << 10
	// MaxWait bounds the wait for memory. It leaves callers with a timeout of 3 s the time for another attempt.
	MaxWait = 1500 * time.Millisecond
	// largeGrace and ordinaryGrace are the ages from which an incomplete request can be refused for the sake of a large or an
	// ordinary one.
	largeGrace    = 500 * time.Millisecond
	ordinaryGrace = 100 * time.Millisecond
	// evictionInterval is the time between two searches for requests that may be evicted if the first finds none: each goes through
	// all connections, and hundreds of requests may wait.
	evictionInterval = 10 * time.Millisecond
	// minBytesPerSecond is the rate at which an incomplete request is not refused for the sake of a large one. The slowest
	// links of instances carry 1.25 MB a second.
	minBytesPerSecond = 1_000_000
)

// Verdict is a decision on a demand for memory.
type Verdict int

// The verdicts. After Wait, the demand is to be made again.
const (
	Granted Verdict = iota
	Wait
	Refused
)

// Grant is the memory of one request in bytes, by the part of the budget that it is from.
type Grant struct {
	ordinary int64
	large    int64
}

// Bytes returns the size of the grant.
func (g Grant) Bytes() int64 {
	return g.ordinary + g.large
}

// Holder is a connection of a caller.
type Holder struct {
	// Owner is what the user of the budget needs to refuse or to close the holder.
	Owner any

	// incomplete is the memory of the request that is being read, running that of the requests that are complete.
	incomplete Grant
	running    Grant
	// unanswered is the number of complete requests.
	unanswered   int
	readingSince time.Time
	received     int64
	// waitingFor is the size of the demand that waits, or 0; waitsForReserve is set if it is that of an ordinary request.
	waitingFor      int64
	waitsForReserve bool
	waitingSince    time.Time
	isGrowing       bool
	// isEvicted is set once the holder is to be refused or closed.
	isEvicted  bool
	lastActive time.Time
	// index is the place in Budget.holders.
	index int
}

// Counts tell what the budget has granted and whom it has turned away.
type Counts struct {
	Connections   int
	OrdinaryBytes int64
	LargeBytes    int64
	Waiting       int
	// Refused counts demands that were refused, Evicted the incomplete requests refused for the sake of others, and Closed the
	// connections closed for the sake of others or because there were too many.
	Refused int64
	Evicted int64
	Closed  int64
}

// Budget decides on the memory of the requests of callers. It is not safe for concurrent use.
type Budget struct {
	division Division
	holders  []*Holder
	// queue are the holders that wait for memory other than the reserve, in the order of their arrival.
	queue    []*Holder
	ordinary int64
	large    int64
	waiting  int
	// evictedBytes is the memory of incomplete requests that were evicted and have not released it yet.
	evictedBytes int64
	// fruitlessAt is when no request was found that may be evicted.
	fruitlessAt time.Time
	// ordinaryAwaited is the sum of the demands of ordinary requests that wait.
	ordinaryAwaited int64
	evicted         []*Holder
	counts          Counts
}

// NewBudget returns a budget without holders.
func NewBudget(division Division) *Budget {
	return &Budget{
		division: division,
	}
}

// Counts returns the present counts.
func (b *Budget) Counts() Counts {
	counts := b.counts
	counts.Connections = len(b.holders)
	counts.OrdinaryBytes = b.ordinary
	counts.LargeBytes = b.large
	counts.Waiting = b.waiting
	return counts
}

// TakeEvicted returns the holders that were evicted since the last call: their incomplete request is to be refused.
func (b *Budget) TakeEvicted() []*Holder {
	evicted := b.evicted
	b.evicted = nil
	return evicted
}

// IsAwaited reports whether requests wait for memory.
func (b *Budget) IsAwaited() bool {
	return b.waiting > 0
}

// Open adds a connection. If there are too many, it returns the holder that must be closed, which may be the new one.
func (b *Budget) Open(owner any, now time.Time) (added, closed *Holder) {
	added = &Holder{
		Owner:      owner,
		lastActive: now,
		index:      len(b.holders),
	}
	if len(b.holders) >= b.division.Connections {
		b.counts.Closed++
		closed = b.leastActive()
		if closed == nil {
			return nil, added
		}
		b.Close(closed)
		added.index = len(b.holders)
	}
	b.holders = append(b.holders, added)
	return added, closed
}

// leastActive returns the idle connection without activity for the longest time, or else the one whose incomplete request is
// the oldest, or nil if all have complete requests.
func (b *Budget) leastActive() *Holder {
	var idle, oldest *Holder
	for _, holder := range b.holders {
		switch {
		case holder.unanswered > 0:
		case holder.readingSince.IsZero():
			if idle == nil || holder.lastActive.Before(idle.lastActive) {
				idle = holder
			}
		case oldest == nil || holder.readingSince.Before(oldest.readingSince):
			oldest = holder
		}
	}
	if idle != nil {
		return idle
	}
	return oldest
}

// Close removes a connection and releases all that it holds. Closing twice has no effect.
func (b *Budget) Close(holder *Holder) {
	if holder.index < 0 {
		return
	}
	b.Abort(holder)
	b.ordinary -= holder.running.ordinary
	b.large -= holder.running.large
	last := b.holders[len(b.holders)-1]
	b.holders[holder.index] = last
	last.index = holder.index
	b.holders[len(b.holders)-1] = nil
	b.holders = b.holders[:len(b.holders)-1]
	holder.index = -1
	holder.isEvicted = true
}

// Reserve decides on more memory for the request that a holder is reading. isGrowing is set if more demands may follow.
// After Wait, the demand is repeated when memory was released, and after some time in any case.
func (b *Budget) Reserve(holder *Holder, bytes int64, isGrowing bool, now time.Time) Verdict {
	if holder.isEvicted {
		b.endWait(holder)
		return Refused
	}
	if holder.readingSince.IsZero() {
		holder.readingSince = now
		holder.received = 0
	}
	holder.lastActive = now
	isOrdinary := holder.isOrdinary(bytes, isGrowing)
	if isOrdinary && b.used()+bytes <= b.division.Callers {
		b.endWait(holder)
		b.ordinary += bytes
		holder.incomplete.ordinary += bytes
		return Granted
	}
	if b.fitsLarge(holder, bytes) && (len(b.queue) == 0 || b.queue[0] == holder) {
		b.endWait(holder)
		b.large += bytes
		holder.incomplete.large += bytes
		return Granted
	}
	if b.canNeverFit(holder, bytes) || !b.wait(holder, bytes, isOrdinary, isGrowing, now) {
		b.endWait(holder)
		b.counts.Refused++
		return Refused
	}
	switch {
	case isOrdinary:
		b.evictFor(holder, b.used()+bytes-b.division.Callers, true, now)
	case b.queue[0] == holder:
		b.evictFor(holder, max(b.used()+bytes-b.division.Callers, b.large+bytes-b.largeLimit()), false, now)
	}
	if isGrowing && !isOrdinary && b.isLargestOfSeveralGrowing(holder) {
		b.endWait(holder)
		b.counts.Refused++
		return Refused
	}
	return Wait
}

func (b *Budget) used() int64 {
	return b.ordinary + b.large
}

// largeLimit is what requests other than ordinary ones may hold together.
func (b *Budget) largeLimit() int64 {
	return b.division.Callers - b.division.Ordinary
}

// fitsLarge reports whether a demand other than an ordinary one can be granted. What ordinary requests wait for is left to
// them: otherwise the large ones in the queue would take all that is released.
func (b *Budget) fitsLarge(holder *Holder, bytes int64) bool {
	awaited := b.ordinaryAwaited
	if holder.waitsForReserve {
		awaited -= holder.waitingFor
	}
	return b.large+bytes <= b.largeLimit() && b.used()+bytes+awaited <= b.division.Callers
}

// isOrdinary reports whether a demand may use the reserve.
func (h *Holder) isOrdinary(bytes int64, isGrowing bool) bool {
	limit := int64(OrdinaryBytes)
	if isGrowing {
		limit = ordinaryGrowingBytes
	}
	return h.running.Bytes() == 0 && h.incomplete.Bytes()+bytes <= limit
}

// canNeverFit reports whether a demand exceeds the budget even if no other connection holds anything.
func (b *Budget) canNeverFit(holder *Holder, bytes int64) bool {
	return holder.incomplete.large+bytes > b.largeLimit()
}

// wait records that a holder waits and reports whether it may.
func (b *Budget) wait(holder *Holder, bytes int64, isOrdinary, isGrowing bool, now time.Time) bool {
	if holder.waitingFor == 0 {
		if int64(b.waiting+1)*UnreadBytes > b.division.Unread && !b.evictLargestWaiter(bytes) {
			return false
		}
		holder.waitingSince = now
		b.waiting++
		holder.waitsForReserve = isOrdinary
		if isOrdinary {
			b.ordinaryAwaited += bytes
		} else {
			b.queue = append(b.queue, holder)
		}
		holder.waitingFor = bytes
	}
	holder.isGrowing = isGrowing
	return now.Sub(holder.waitingSince) < MaxWait
}

// endWait records that a holder does not wait any more.
func (b *Budget) endWait(holder *Holder) {
	if holder.waitingFor == 0 {
		return
	}
	if holder.waitsForReserve {
		b.ordinaryAwaited -= holder.waitingFor
	}
	holder.waitingFor = 0
	b.waiting--
	for place, queued := range b.queue {
		if queued == holder {
			b.queue = append(b.queue[:place], b.queue[place+1:]...)
			return
		}
	}
}

// evictLargestWaiter evicts the waiter with the largest demand, if that is above a number of bytes.
func (b *Budget) evictLargestWaiter(bytes int64) bool {
	var largest *Holder
	for _, other := range b.holders {
		if !other.isEvicted && other.waitingFor > bytes && (largest == nil || other.waitingFor > largest.waitingFor) {
			largest = other
		}
	}
	if largest == nil {
		return false
	}
	b.evict(largest)
	b.endWait(largest)
	return true
}

// isLargestOfSeveralGrowing reports whether at least two growing requests wait, of which none is larger than that of a holder.
func (b *Budget) isLargestOfSeveralGrowing(holder *Holder) bool {
	others := 0
	for _, queued := range b.queue {
		if queued == holder || !queued.isGrowing || queued.isEvicted {
			continue
		}
		others++
		if queued.incomplete.Bytes() > holder.incomplete.Bytes() {
			return false
		}
	}
	return others > 0
}

// evictFor evicts incomplete requests until a number of bytes will be released, if there are some that may be evicted.
func (b *Budget) evictFor(holder *Holder, bytes int64, isOrdinary bool, now time.Time) {
	bytes -= b.evictedBytes
	if bytes <= 0 || now.Sub(b.fruitlessAt) < evictionInterval {
		return
	}
	for bytes > 0 {
		var worst *Holder
		worstScore := 0.0
		for _, other := range b.holders {
			if other == holder || other.isEvicted || !mayEvict(holder, other, isOrdinary, now) {
				continue
			}
			age := now.Sub(other.readingSince) + time.Millisecond
			if score := float64(other.incomplete.Bytes()) * age.Seconds(); score > worstScore {
				worst, worstScore = other, score
			}
		}
		if worst == nil {
			b.fruitlessAt = now
			return
		}
		b.evict(worst)
		bytes -= worst.incomplete.Bytes()
	}
}

func (b *Budget) evict(holder *Holder) {
	holder.isEvicted = true
	b.evictedBytes += holder.incomplete.Bytes()
	b.counts.Evicted++
	b.evicted = append(b.evicted, holder)
}

// mayEvict reports whether the incomplete request of one holder may be refused for the sake of that of another.
func mayEvict(holder, other *Holder, isOrdinary bool, now time.Time) bool {
	held := other.incomplete.Bytes()
	if held == 0 {
		return false
	}
	age := now.Sub(other.readingSince)
	if isOrdinary {
		return age >= ordinaryGrace || held > holder.incomplete.Bytes()+holder.waitingFor
	}
	return age >= largeGrace && float64(other.received) < minBytesPerSecond*age.Seconds()
}

// Received records that bytes of the request that a holder is reading have arrived.
func (b *Budget) Received(holder *Holder, bytes int64, now time.Time) {
	holder.received += bytes
	holder.lastActive = now
}

// Complete ends the reading of a request and returns its grant, which stays until Release.
func (b *Budget) Complete(holder *Holder) Grant {
	grant := holder.incomplete
	if holder.isEvicted && holder.index >= 0 {
		// The request was complete before its connection noticed the eviction.
		b.evictedBytes -= grant.Bytes()
	}
	holder.incomplete = Grant{}
	holder.readingSince = time.Time{}
	holder.running.ordinary += grant.ordinary
	holder.running.large += grant.large
	holder.unanswered++
	return grant
}

// Abort releases what the incomplete request of a holder has, because it is not read any further.
func (b *Budget) Abort(holder *Holder) {
	b.endWait(holder)
	if holder.isEvicted && holder.index >= 0 {
		b.evictedBytes -= holder.incomplete.Bytes()
	}
	b.ordinary -= holder.incomplete.ordinary
	b.large -= holder.incomplete.large
	holder.incomplete = Grant{}
	holder.readingSince = time.Time{}
}

// Release releases the grant of a complete request that was answered. It has no effect after Close.
func (b *Budget) Release(holder *Holder, grant Grant, now time.Time) {
	if holder.index < 0 {
		return
	}
	b.ordinary -= grant.ordinary
	b.large -= grant.large
	holder.running.ordinary -= grant.ordinary
	holder.running.large -= grant.large
	holder.unanswered--
	holder.lastActive = now
}
