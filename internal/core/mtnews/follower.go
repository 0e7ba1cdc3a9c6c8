// One instance reads for all, a second one stands by; the others hear of changes from them and read only when their news
// grow old. A read that the store holds back proves nothing until it is answered, so it is held back for a short time only:
//
//	reader:   newest -> read, held back up to readWait -> read ...; after a failure a pause that doubles
//	standby:  nothing while what others say is younger than standbyAfter; then as the reader, until they say more again
//	others:   nothing while the news are younger than staleAfter; then one read, and a pause that doubles if it fails
//
// The age of the news is counted on the own steady clock. A peer's statement carries the age, not a time of day.

package mtnews

import (
	"math/rand/v2"
	"time"
)

const (
	// readWait is how long the store holds back a read without records. With readGap and the 400 ms between two statements
	// of the reader it stays under standbyAfter.
	readWait = 600 * time.Millisecond
	// standbyAfter is the age of what others say from which on the instance that stands by reads; it comes before staleAfter,
	// so that a reader that is lost costs no reads of all the others.
	standbyAfter = 1200 * time.Millisecond
	// readGap is the pause after a read with records, so that a series of changes is read at once.
	readGap = 120 * time.Millisecond
	// staleAfter is the age of the news from which on listeners read, the first of them first: the next ones follow after
	// rankGap, and all beyond rankFew after rankFarGap, so that a store that is down is not asked by a whole fleet.
	staleAfter = 1350 * time.Millisecond
	rankGap    = 15 * time.Millisecond
	rankFew    = 20
	rankFarGap = 100 * time.Millisecond
	// settleTime is how long an instance that starts waits for what a peer knows before it reads, and settleSpread the part
	// that is drawn, so that a restart of all does not read at one moment.
	settleTime   = 60 * time.Millisecond
	settleSpread = 80 * time.Millisecond
	// settleOthers is added for an instance that has heard of one that reads for all.
	settleOthers = 600 * time.Millisecond
	// The pauses after failures.
	retryReader = 300 * time.Millisecond
	retryOther  = time.Second
	retryMost   = 4 * time.Second
	// retryReaderMost is short, because the readers find out for all when the store is back.
	retryReaderMost = 900 * time.Millisecond
	// cutAfter is the number of failures in a row from which on an instance counts as cut off from the store.
	cutAfter = 2
	// idleCheck is the longest time between two decisions.
	idleCheck = 250 * time.Millisecond
)

// Role is the part of an instance in reading for all.
type Role int

// The roles.
const (
	// Listener hears from others.
	Listener Role = iota
	// Standby reads when nobody else seems to.
	Standby
	// Reader reads for all.
	Reader
)

// String returns the name of the role in logs.
func (r Role) String() string {
	switch r {
	case Reader:
		return "reader"
	case Standby:
		return "standby"
	default:
		return "listener"
	}
}

// Action is what a follower does next.
type Action int

// The actions.
const (
	// Sleep waits for the given time.
	Sleep Action = iota
	// ReadNewest reads the newest record of each key.
	ReadNewest
	// ReadOn reads from the offset reached.
	ReadOn
)

// Follower keeps the place of one instance in one feed.
type Follower struct {
	started time.Time
	offset  uint64
	known   bool
	fresh   time.Time
	// heard is the latest moment of which a peer has said that the offset reached was the end.
	heard    time.Time
	next     time.Time
	pause    time.Duration
	failures int
	// rank is the place of the instance among those that it hears, and fleet their number.
	rank   int
	fleet  int
	settle time.Duration
	random *rand.Rand
}

// NewFollower returns a follower that has read nothing.
func NewFollower(now time.Time, random *rand.Rand) *Follower {
	follower := &Follower{
		started: now,
		random:  random,
	}
	follower.settle = time.Duration(random.Int64N(int64(settleSpread)))
	return follower
}

// Place records the place of the instance among those that it hears, itself included, and their number.
func (f *Follower) Place(rank, fleet int) {
	f.rank = rank
	f.fleet = fleet
}

// patience returns how old the news of a listener may grow. An instance that hears nobody is the first of one.
func (f *Follower) patience() time.Duration {
	few, far := min(f.rank, rankFew), max(0, f.rank-rankFew)
	return staleAfter + time.Duration(few)*rankGap + time.Duration(far)*rankFarGap
}

// Next returns what to do now; wait is how long to sleep, or how long the store may hold the read back.
func (f *Follower) Next(role Role, now time.Time) (action Action, wait time.Duration) {
	if !f.known {
		settled := f.started.Add(settleTime + f.settle)
		if role == Listener {
			settled = settled.Add(settleOthers)
		}
		if now.Before(settled) {
			return Sleep, min(idleCheck, settled.Sub(now))
		}
	}
	if now.Before(f.next) {
		return Sleep, min(idleCheck, f.next.Sub(now))
	}
	if !f.known {
		return ReadNewest, 0
	}
	due, hold := f.due(role)
	if now.Before(due) {
		return Sleep, min(idleCheck, due.Sub(now))
	}
	return ReadOn, hold
}

// due returns from when on an instance reads, and how long the store may hold the read back.
func (f *Follower) due(role Role) (at time.Time, hold time.Duration) {
	switch role {
	case Reader:
		return f.next, readWait
	case Standby:
		return f.heard.Add(standbyAfter), readWait
	default:
		return f.fresh.Add(f.patience()), 0
	}
}

// Done records a read that reached an offset; sent is when it was sent, and count the number of its changes.
func (f *Follower) Done(offset uint64, count int, sent, now time.Time) {
	f.failures = 0
	f.pause = 0
	f.reach(offset)
	// The answer was true at some moment after the request was sent; a read without records was held back until just now.
	f.confirm(sent)
	if count > 0 {
		f.next = now.Add(readGap)
	} else {
		f.confirm(now.Add(-readGap))
		f.next = time.Time{}
	}
}

// Failed records a read without an answer.
func (f *Follower) Failed(role Role, now time.Time) {
	f.failures++
	least, most := retryOther, retryMost
	if role != Listener {
		least, most = retryReader, retryReaderMost
	} else if more := f.fleet / rankFew; more > 1 {
		least, most = least*time.Duration(more), most*time.Duration(more)
	}
	f.pause = min(max(least, 2*f.pause), most)
	f.next = now.Add(f.pause/2 + time.Duration(f.random.Int64N(int64(f.pause))))
}

// Forgotten records that the records at the offset are gone, so that the newest must be read.
func (f *Follower) Forgotten() {
	f.known = false
}

// IsCut reports whether the store has not answered lately.
func (f *Follower) IsCut() bool {
	return f.failures >= cutAfter
}

// Failures returns the number of reads in a row without an answer.
func (f *Follower) Failures() int {
	return f.failures
}

// Heard records that a peer knew the end of the feed to be at an offset some time ago, and reports whether the peer is
// ahead of this instance.
func (f *Follower) Heard(offset uint64, age time.Duration, now time.Time) bool {
	if !f.known || offset > f.offset {
		return true
	}
	if offset == f.offset {
		f.hear(now.Add(-age))
	}
	return false
}

// Accepts reports whether a batch joins what is known.
func (f *Follower) Accepts(batch Batch) bool {
	if batch.Whole {
		return !f.known || batch.To > f.offset
	}
	return f.known && batch.From <= f.offset && batch.To > f.offset
}

// Took records a batch of a peer that was applied.
func (f *Follower) Took(batch Batch, age time.Duration, now time.Time) {
	f.reach(batch.To)
	f.hear(now.Add(-age))
}

// hear records the moment that a peer has stated.
func (f *Follower) hear(moment time.Time) {
	f.confirm(moment)
	if moment.After(f.heard) {
		f.heard = moment
	}
}

func (f *Follower) reach(offset uint64) {
	if !f.known || offset > f.offset {
		f.offset = offset
	}
	f.known = true
}

func (f *Follower) confirm(moment time.Time) {
	if moment.After(f.fresh) {
		f.fresh = moment
	}
}

// Offset returns the offset reached, and whether anything is known.
func (f *Follower) Offset() (uint64, bool) {
	return f.offset, f.known
}

// Age returns how long ago the offset was known to be the end of the feed.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.fresh)
}
