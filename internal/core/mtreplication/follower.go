// Load pattern: the whole fleet follows the feeds of one store. One instance reads for all, and another is its standby;
// the others, the listeners, get the changes from these two and read only when their own data grows old. A long poll
// proves nothing until it is answered, so it is short:
//
//	reader:    newest -> long poll up to longPollTimeout -> long poll ...; after a failure an exponential backoff
//	standby:   no reads while data from peers is younger than standbyReadAge; then as the reader, until it is again
//	listeners: no reads while their data is younger than listenerReadAge; then one read, and backoff if it fails
//
// The age of the data is counted on the instance's monotonic clock. A message of a peer carries an age, not a time of
// day.
//
// The store may return from an outage with a copy that is some seconds old, and begin a new era. Offsets of the old era
// say nothing about the new one, so an instance that sees the new era reads the newest records, and a listener gets
// them from the reader. Until then the state of the old era stays in use. Responses of an older era are ignored: they
// come late.

package mtreplication

import (
	"math/rand/v2"
	"time"
)

const (
	// longPollTimeout is how long the store delays the answer to a read without records. With readPause and the 400 ms
	// between two heartbeats of the reader it stays below standbyReadAge.
	longPollTimeout = 600 * time.Millisecond
	// standbyReadAge is the age of the newest data from peers from which on the standby reads. It is below
	// listenerReadAge, so that the failure of the reader causes no reads of all listeners.
	standbyReadAge = 1200 * time.Millisecond
	// readPause is the pause after a read that returned records, so that a series of changes is read in one batch.
	readPause = 120 * time.Millisecond
	// listenerReadAge is the age of its data from which on the listener of rank 0 reads. Each rank up to maxLowRank
	// adds rankDelay, and each rank above it highRankDelay, so that a store that is down is not read by the whole
	// fleet.
	listenerReadAge = 1350 * time.Millisecond
	rankDelay       = 15 * time.Millisecond
	maxLowRank      = 20
	highRankDelay   = 100 * time.Millisecond
	// startupWait is how long a standby that starts waits for data from a peer before it reads, and maxStartupJitter
	// bounds the random time added to it, so that a restart of all instances does not cause reads at the same time.
	startupWait      = 60 * time.Millisecond
	maxStartupJitter = 80 * time.Millisecond
	// listenerStartupWait is added for a listener, because another instance reads for all.
	listenerStartupWait = 600 * time.Millisecond
	// newEraRelayWait is how long a listener that sees a new era waits for the newest records from a peer.
	newEraRelayWait = 400 * time.Millisecond
	// The bounds of the exponential backoff after failed reads.
	minReaderBackoff   = 300 * time.Millisecond
	minListenerBackoff = time.Second
	maxListenerBackoff = 4 * time.Second
	// maxReaderBackoff is short, because reader and standby detect for all instances that the store has recovered.
	maxReaderBackoff = 900 * time.Millisecond
	// unreachableFailures is the number of consecutive failures from which on the store counts as unreachable.
	unreachableFailures = 2
	// minInterruption is the shortest time without contact to the store after which entries of endpoints may have
	// expired. It is shorter than two heartbeats of an endpoint, whose entry expires after three.
	minInterruption = 2 * time.Second
	// maxSleep is the longest time until Next is called again.
	maxSleep = 250 * time.Millisecond
)

// Role says whether an instance reads a feed for all instances.
type Role int

// The roles.
const (
	// Listener gets changes from other instances and reads only when these are late.
	Listener Role = iota
	// Standby reads while no data arrives from the reader.
	Standby
	// Reader reads the store for all instances.
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
	// ReadFromOffset reads from the offset of the current position.
	ReadFromOffset
)

// Follower tracks the position of one instance in one feed and schedules its reads of the store.
type Follower struct {
	started  time.Time
	position Position
	// hasPosition is set once the feed was read, or received from a peer.
	hasPosition bool
	// latestEra is the latest era that a response of the store had.
	latestEra uint64
	// needsNewest is set while the feed can't be read from the position: the store does not have its offset, or is in a
	// later era.
	needsNewest bool
	// confirmedAt is the latest time at which position was known to be the end of the feed.
	confirmedAt time.Time
	// peerConfirmedAt is the latest time at which a peer knew position to be the end of the feed.
	peerConfirmedAt time.Time
	// resumedAt is the first time at which position was known to be the end of the feed after an interruption.
	resumedAt time.Time
	// failedReadAt is when the last read of this instance that failed was sent, and anyFailedReadAt the same of this
	// instance or a peer.
	failedReadAt    time.Time
	anyFailedReadAt time.Time
	// nextRead is the time before which no read is made.
	nextRead time.Time
	backoff  time.Duration
	failures int
	// rank is the seniority rank of the instance among the reachable ones, and reachable their number.
	rank          int
	reachable     int
	startupJitter time.Duration
	random        *rand.Rand
}

// NewFollower returns a follower that has read nothing.
func NewFollower(now time.Time, random *rand.Rand) *Follower {
	follower := &Follower{
		started: now,
		random:  random,
	}
	follower.startupJitter = time.Duration(random.Int64N(int64(maxStartupJitter)))
	return follower
}

// SetRank sets the seniority rank of the instance among the reachable ones, itself included, and their number.
func (f *Follower) SetRank(rank, reachable int) {
	f.rank = rank
	f.reachable = reachable
}

// listenerReadDelay returns the age of its data at which a listener reads. The rank of an instance that reaches no
// other is 0.
func (f *Follower) listenerReadDelay() time.Duration {
	low, high := min(f.rank, maxLowRank), max(0, f.rank-maxLowRank)
	return listenerReadAge + time.Duration(low)*rankDelay + time.Duration(high)*highRankDelay
}

// Next returns what to do now; wait is how long to sleep, or how long the store may delay the answer to the read.
func (f *Follower) Next(role Role, now time.Time) (action Action, wait time.Duration) {
	if !f.hasPosition {
		if startupEnd := f.startupEnd(role); now.Before(startupEnd) {
			return Sleep, min(maxSleep, startupEnd.Sub(now))
		}
	}
	if now.Before(f.nextRead) {
		return Sleep, min(maxSleep, f.nextRead.Sub(now))
	}
	if !f.hasPosition || f.needsNewest {
		return ReadNewest, 0
	}
	due, longPoll := f.readDue(role)
	if now.Before(due) {
		return Sleep, min(maxSleep, due.Sub(now))
	}
	return ReadFromOffset, longPoll
}

// NextReadAt returns when this instance reads next, or a time in the past while it reads.
func (f *Follower) NextReadAt(role Role) time.Time {
	due, _ := f.readDue(role)
	if due.Before(f.nextRead) {
		return f.nextRead
	}
	return due
}

// startupEnd returns when an instance that has started without data reads. An instance takes the role of the reader only
// after it has waited for its peers, and callers wait for its data after a restart of all.
func (f *Follower) startupEnd(role Role) time.Time {
	switch role {
	case Reader:
		return f.started
	case Standby:
		return f.started.Add(startupWait + f.startupJitter)
	default:
		return f.started.Add(startupWait + f.startupJitter + listenerStartupWait)
	}
}

// readDue returns the time from which on an instance reads, and how long the store may delay the answer.
func (f *Follower) readDue(role Role) (at time.Time, longPoll time.Duration) {
	switch role {
	case Reader:
		return f.nextRead, longPollTimeout
	case Standby:
		return f.peerConfirmedAt.Add(standbyReadAge), longPollTimeout
	default:
		return f.confirmedAt.Add(f.listenerReadDelay()), 0
	}
}

// EraOrder is how the era of a response relates to the latest one known.
type EraOrder int

// The orders.
const (
	// SameEra means that the response can be used.
	SameEra EraOrder = iota
	// NewEra means that the store was restored from a copy; a snapshot can be used, and changes can't.
	NewEra
	// OldEra means that the response must be ignored.
	OldEra
)

// ObserveEra records the era of a response of the store before its content is used.
func (f *Follower) ObserveEra(era uint64, role Role, now time.Time) EraOrder {
	if !f.hasPosition {
		f.latestEra = max(f.latestEra, era)
	}
	switch {
	case era < f.latestEra:
		return OldEra
	case era == f.latestEra:
		return SameEra
	}
	f.latestEra = era
	f.needsNewest = true
	f.failures = 0
	f.backoff = 0
	f.nextRead = now
	if role == Listener && f.reachable > 1 {
		f.nextRead = now.Add(newEraRelayWait + f.listenerReadDelay() - listenerReadAge)
	}
	return NewEra
}

// ReadSucceeded records a successful read, sent at the time sent, whose era was observed.
func (f *Follower) ReadSucceeded(batch Batch, sent, now time.Time) {
	f.failures = 0
	f.backoff = 0
	if f.leavesGap(batch) {
		// A peer's snapshot of a new era has set the position back while the read was in flight.
		f.nextRead = now
		return
	}
	f.advance(batch)
	// The offset was the end of the feed at some time after the request was sent; the store delays the answer to a read
	// without records until just before now.
	f.confirm(sent)
	if len(batch.Changes) > 0 {
		f.nextRead = now.Add(readPause)
	} else {
		f.confirm(now.Add(-readPause))
		f.nextRead = time.Time{}
	}
}

// ReadFailed records a failed read and sets the backoff before the next one.
func (f *Follower) ReadFailed(role Role, now time.Time) {
	f.failures++
	minBackoff, maxBackoff := minListenerBackoff, maxListenerBackoff
	if role != Listener {
		minBackoff, maxBackoff = minReaderBackoff, maxReaderBackoff
	} else if factor := f.reachable / maxLowRank; factor > 1 {
		minBackoff, maxBackoff = minBackoff*time.Duration(factor), maxBackoff*time.Duration(factor)
	}
	f.backoff = min(max(minBackoff, 2*f.backoff), maxBackoff)
	f.nextRead = now.Add(f.backoff/2 + time.Duration(f.random.Int64N(int64(f.backoff))))
}

// RequireNewest records that the store does not have the records at the position, so that Next asks for the newest.
func (f *Follower) RequireNewest() {
	f.needsNewest = true
}

// IsStoreUnreachable reports whether the last reads of the store failed, so that it counts as unreachable.
func (f *Follower) IsStoreUnreachable() bool {
	return f.failures >= unreachableFailures
}

// ConsecutiveFailures returns the number of consecutive failed reads.
func (f *Follower) ConsecutiveFailures() int {
	return f.failures
}

// ObservePeerPosition records that a peer knew a position to be the end of the feed at the given age, and reports
// whether the peer is ahead of this instance.
func (f *Follower) ObservePeerPosition(position Position, age time.Duration, now time.Time) bool {
	if !f.hasPosition || position.Compare(f.position) > 0 {
		return true
	}
	if position == f.position {
		f.confirmFromPeer(now.Add(-age))
	}
	return false
}

// Accepts reports whether a batch can be applied: the first snapshot, a newer one or one that the follower needs, or
// newer changes that leave no gap after the current position.
func (f *Follower) Accepts(batch Batch) bool {
	if batch.Era < f.latestEra {
		return false
	}
	if batch.Snapshot {
		return !f.hasPosition || f.needsNewest || batch.End().Compare(f.position) > 0
	}
	return f.hasPosition && !f.leavesGap(batch) && batch.To > f.position.Offset
}

// leavesGap reports whether records between the current position and the changes of a batch are unknown.
func (f *Follower) leavesGap(batch Batch) bool {
	return f.hasPosition && !batch.Snapshot && (batch.Era != f.position.Era || batch.From > f.position.Offset)
}

// BatchApplied records that a batch of a peer was applied.
func (f *Follower) BatchApplied(batch Batch, age time.Duration, now time.Time) {
	f.advance(batch)
	f.confirmFromPeer(now.Add(-age))
}

// confirmFromPeer records a time at which a peer knew the position to be the end of the feed.
func (f *Follower) confirmFromPeer(moment time.Time) {
	f.confirm(moment)
	if moment.After(f.peerConfirmedAt) {
		f.peerConfirmedAt = moment
	}
}

// advance sets the position to the end of a batch. It moves back only by a snapshot that replaces records which the
// store does not have.
func (f *Follower) advance(batch Batch) {
	if !f.hasPosition || batch.End().Compare(f.position) > 0 || f.needsNewest && batch.Snapshot {
		f.position = batch.End()
		f.needsNewest = false
	}
	f.hasPosition = true
	f.latestEra = max(f.latestEra, batch.Era)
}

// confirm records a time at which the position was known to be the end of the feed.
func (f *Follower) confirm(moment time.Time) {
	if !moment.After(f.confirmedAt) {
		return
	}
	// A gap in which no read failed is one in which no instance has read.
	if !f.confirmedAt.IsZero() && moment.Sub(f.confirmedAt) > minInterruption && f.anyFailedReadAt.After(f.confirmedAt) {
		f.resumedAt = moment
	}
	f.confirmedAt = moment
}

// RecordFailedRead records that a read of this instance, sent at the given time, has failed.
func (f *Follower) RecordFailedRead(sent time.Time) {
	if sent.After(f.failedReadAt) {
		f.failedReadAt = sent
	}
	f.ObservePeerFailedRead(sent)
}

// ObservePeerFailedRead records that a read of a peer, sent at the given time, has failed.
func (f *Follower) ObservePeerFailedRead(sent time.Time) {
	if sent.After(f.anyFailedReadAt) {
		f.anyFailedReadAt = sent
	}
}

// FailedReadAt returns when the last read of this instance that failed was sent; zero without one.
func (f *Follower) FailedReadAt() time.Time {
	return f.failedReadAt
}

// ResumedAt returns the end of the last interruption, in which no instance that this one heard from reached the store, or
// the zero time. Failed reads of this instance alone are no interruption.
func (f *Follower) ResumedAt() time.Time {
	return f.resumedAt
}

// Position returns the current position, and whether the feed was read or received.
func (f *Follower) Position() (Position, bool) {
	return f.position, f.hasPosition
}

// Age returns how long ago the position was known to be the end of the feed.
func (f *Follower) Age(now time.Time) time.Duration {
	return now.Sub(f.confirmedAt)
}
