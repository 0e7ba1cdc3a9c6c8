// Load pattern: all instances restart at once and their callers reconnect before the instances have the configuration
// and the endpoints. An instance that takes itself for the only one reads the store, as would each of the others; one
// that waits for its peers longer than needed refuses callers meanwhile. So an instance waits until no further peers
// are discovered, within bounds. An instance without peers is among the first to start, and callers wait for it, unless
// the whole fleet starts for the first time. Instances of too little capacity to serve many callers wait longer:
// without that, 308 of 311 instances whose seeds started last read the store themselves, with 2,500 calls.

package mtstartup

import "time"

const (
	// minPeerWait covers a few exchanges of first heartbeats, which take 10 to 30 ms on a busy host.
	minPeerWait = 60 * time.Millisecond
	// maxPeerWait bounds the wait of an instance that discovers peers all the time.
	maxPeerWait = 150 * time.Millisecond
	// maxWaitWithoutPeers bounds the wait of an instance that has discovered no peer: some five round trips to a seed.
	maxWaitWithoutPeers = 20 * time.Millisecond
	// maxLowCapacityWait bounds the wait of a low-capacity instance: the seeds may start 300 ms after it, and an
	// instance of higher capacity will have read the store for it by the end of the wait.
	maxLowCapacityWait = 600 * time.Millisecond
	// lowCapacityCores is the capacity in cores below which an instance is of low capacity, so that hardly any callers
	// are sent to it.
	lowCapacityCores = 0.25
	// discoveryIdleTime is the time without a new peer after which discovery counts as complete: 141 instances that
	// start on one host are discovered every few milliseconds.
	discoveryIdleTime = 30 * time.Millisecond
)

// PeerWait is the wait of an instance that starts until it has discovered its peers.
type PeerWait struct {
	// Started is the start time of the instance.
	Started time.Time
	// Cores is the processor share of the instance in cores.
	Cores float64
	// IsFirstDeployment is set when all instances start for the first time: no callers wait, and the store has no record of their
	// addresses.
	IsFirstDeployment bool

	peers      int
	lastPeerAt time.Time
	complete   bool
	// storeQueried is set once ShouldReadAddresses has returned true.
	storeQueried bool
}

// ObservePeers records the number of other instances that have been discovered.
func (o *PeerWait) ObservePeers(peers int, now time.Time) {
	if peers > o.peers {
		o.peers, o.lastPeerAt = peers, now
	}
}

// Remaining returns how much longer the instance waits unless it discovers more peers. Once it has returned 0, the wait is
// over for good.
func (o *PeerWait) Remaining(now time.Time) time.Duration {
	if o.complete {
		return 0
	}
	end := o.Started.Add(maxPeerWait)
	switch {
	case o.isLowCapacity():
		end = o.Started.Add(maxLowCapacityWait)
	case o.peers == 0 && !o.IsFirstDeployment:
		end = o.Started.Add(maxWaitWithoutPeers)
	}
	if o.peers > 0 {
		end = earliest(end, latest(o.Started.Add(minPeerWait), o.lastPeerAt.Add(discoveryIdleTime)))
	}
	remaining := max(0, end.Sub(now))
	o.complete = remaining == 0
	return remaining
}

// ShouldReadAddresses reports whether the instance should read the addresses of the others from the store now, because its
// seeds have not answered and callers will soon be sent to it. It returns true at most once.
func (o *PeerWait) ShouldReadAddresses(now time.Time) bool {
	if o.storeQueried || o.IsFirstDeployment || o.isLowCapacity() || o.peers > 0 || now.Sub(o.Started) < maxWaitWithoutPeers {
		return false
	}
	o.storeQueried = true
	return true
}

func (o *PeerWait) isLowCapacity() bool {
	return o.Cores < lowCapacityCores
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
