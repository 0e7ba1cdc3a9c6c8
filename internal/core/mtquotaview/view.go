// The load pattern: instances are killed, frozen, started and partitioned, and each sees so at another time. Two owners must not
// lease the same share meanwhile:
//
//	part of the fleet falls        -> at once
//	part rises, or tenant acquired -> what holders confirm at once, the rest after mtquota.SettleTime
//	all have just started          -> no older lease exists; a quarter until the view is stable, then all
//	process did not run            -> like a new owner

package mtquotaview

import (
	"slices"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtquota"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
)

const (
	// MaxOwners is the number of instances that own quotas. It bounds the datagrams: each holder sends one to each owner in each interval.
	MaxOwners = 3
	// ownerChoice is the key by which the owners are chosen.
	ownerChoice = "quota owners"
	// minLikelyHolders is the least number of instances over which the extra depth is divided. An instance that has just
	// started knows of no others.
	minLikelyHolders = 8
	// maxPause is the longest time between two updates of a process that runs; updates are some 250 ms apart.
	maxPause = time.Second
	// discoveryTime is how long after the first contact an instance may not know all others yet. Instances that start
	// together discover each other within some 150 ms.
	discoveryTime = 150 * time.Millisecond
	// discoveryPart is the largest part of the fleet until then.
	discoveryPart = 0.25
	// unseenPart is the largest part of an instance that has heard nobody for longer than staleAddressTime.
	unseenPart = 0.25
	// topPart is the part of a fleet that its instances of the highest tier make up, if there are at least minTop.
	topPart = 0.9
	minTop  = 3
	// staleAddressTime is how long after its start an instance takes addresses that have never answered for the other side of
	// a partition. Later they count as stale.
	staleAddressTime = time.Minute
	// minPart bounds the division by the part of the fleet.
	minPart = 0.001
	// deadOwnerTime replaces mtquota.SettleTime after an owner that has fallen silent: its leases have ended 2.3 s after its
	// last grant, at most 0.4 s after its last heartbeat, which is 1.3 s ago. In a partition it has lowered its part by then.
	deadOwnerTime = 1500 * time.Millisecond
)

// Member is another instance, or this one.
type Member struct {
	Name string
	// StartedAt is the start time of the instance by its own wall clock.
	StartedAt time.Time
	// IsTop is set if the instance is of the highest capacity tier; callers are sent to these.
	IsTop bool
	// IsAlive is set if the instance may own quotas; IsReachable lasts longer, because heartbeats of instances without a role
	// arrive late in large fleets.
	IsAlive     bool
	IsReachable bool
}

// Fleet is what an instance knows of all instances, itself included.
type Fleet struct {
	// Members are the instances that have not left, dead ones included while they are known.
	Members []Member
	// Unheard is the number of addresses of other instances in the settings and the store at which none is known.
	Unheard int
	// Receivers is the number of instances that callers are sent to.
	Receivers int
	// Preferred are the names of the instances that own quotas while they are alive, or nothing if any of the highest tier may.
	Preferred  []string
	IsReceiver bool
}

// part returns the part of the fleet that is reachable. The instances to which callers are sent count for most of it; otherwise
// one that is cut off from hundreds of small ones would have to refuse all of its callers.
func (f Fleet) part(isNew bool) float64 {
	var reachable, known [2]float64
	if isNew {
		known[1] = float64(f.Unheard)
	}
	for _, member := range f.Members {
		tier := 0
		if member.IsTop {
			tier = 1
		}
		known[tier]++
		if member.IsReachable {
			reachable[tier]++
		}
	}
	if len(f.Members) == 0 {
		return 1
	}
	if known[0] == 0 || known[1] < minTop {
		// The loss of one of two could not be told from the loss of one side of a partition.
		return (reachable[0] + reachable[1]) / (known[0] + known[1])
	}
	return topPart*reachable[1]/known[1] + (1-topPart)*reachable[0]/known[0]
}

// View is the view of one instance. It is not safe for concurrent use.
type View struct {
	name      string
	startedAt time.Time
	fleet     Fleet
	// contactAt is when another instance was first heard.
	contactAt time.Time
	updatedAt time.Time
	// isFresh is set while all known instances have just started.
	isFresh bool
	// states are the states in force in the last mtquota.SettleTime, the oldest first; the last one is in force.
	states []state
}

// state is what the capacity of an owner follows from.
type state struct {
	owners []string
	part   float64
	until  time.Time
}

// NewView returns the view of an instance that has just started.
func NewView(name string, now time.Time) *View {
	return &View{
		name:      name,
		startedAt: now,
	}
}

// Update records what the instance knows of the fleet.
func (v *View) Update(fleet Fleet, now time.Time) {
	hasPaused := !v.updatedAt.IsZero() && elapsed(v.updatedAt, now) > maxPause
	if v.contactAt.IsZero() && slices.ContainsFunc(fleet.Members, func(member Member) bool {
		return member.Name != v.name && member.IsReachable
	}) {
		v.contactAt = now
	}
	v.fleet = fleet
	v.updatedAt = now
	next := state{
		owners: owners(fleet, v.name),
		part:   v.fleet.part(v.isNew(now)),
	}
	wasFresh := v.isFresh
	v.isFresh = v.haveAllJustStarted(now)
	switch {
	case v.isFresh:
		// No earlier lease can last.
		v.states = append(v.states[:0], next)
	case hasPaused || len(v.states) == 0 || wasFresh && now.Sub(v.startedAt) < mtquota.SettleTime:
		// Another instance may have owned everything until now.
		v.states = append(v.states[:0], state{
			until: now,
		}, next)
	default:
		v.add(next, now)
	}
}

// add puts a state into force.
func (v *View) add(next state, now time.Time) {
	last := &v.states[len(v.states)-1]
	if last.part == next.part && slices.Equal(last.owners, next.owners) {
		return
	}
	last.until = now
	v.states = append(v.states, next)
	v.forget(now)
}

// forget removes the states that ended too long ago to matter.
func (v *View) forget(now time.Time) {
	first := slices.IndexFunc(v.states[:len(v.states)-1], func(s state) bool {
		return now.Sub(s.until) < mtquota.SettleTime
	})
	if first < 0 {
		first = len(v.states) - 1
	}
	v.states = slices.Delete(v.states, 0, first)
}

// elapsed returns the larger of monotonic and wall-clock time between two instants.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// isDiscovering reports whether this instance has just started and may not know yet what others have discovered.
func (v *View) isDiscovering(now time.Time) bool {
	return now.Sub(v.startedAt) < mtquota.SettleTime && now.Sub(v.contactAt) < discoveryTime
}

// isAlone reports whether there is no sign of any other instance.
func (v *View) isAlone() bool {
	return v.contactAt.IsZero() && v.fleet.Unheard == 0 && len(v.fleet.Members) <= 1
}

// isNew reports whether the instance may not have heard all others yet.
func (v *View) isNew(now time.Time) bool {
	return now.Sub(v.startedAt) < staleAddressTime
}

// haveAllJustStarted reports whether this instance and all that it knows have started lately, at about the same time.
func (v *View) haveAllJustStarted(now time.Time) bool {
	if elapsed(v.startedAt, now) >= mtquota.SettleTime {
		return false
	}
	started := v.startedAt.Round(0)
	return !slices.ContainsFunc(v.fleet.Members, func(member Member) bool {
		return started.Sub(member.StartedAt.Round(0)) >= mtquota.SettleTime
	})
}

// owners returns the names of the instances that own quotas: the preferred ones that are alive, else those of the highest tier,
// else any.
func owners(fleet Fleet, self string) []string {
	var preferred, nodes, others []mtrendezvous.Node
	for _, member := range fleet.Members {
		node := mtrendezvous.Node{
			Name: member.Name,
		}
		switch {
		case !member.IsAlive:
		case slices.Contains(fleet.Preferred, member.Name):
			preferred = append(preferred, node)
		case member.IsTop:
			nodes = append(nodes, node)
		default:
			others = append(others, node)
		}
	}
	for _, lower := range [][]mtrendezvous.Node{nodes, others} {
		if len(preferred) == 0 {
			preferred = lower
		}
	}
	if len(preferred) == 0 {
		return []string{self}
	}
	var names []string
	for _, node := range mtrendezvous.ServingInstances(ownerChoice, preferred, MaxOwners) {
		names = append(names, node.Name)
	}
	return names
}

// Owners returns the names of the instances that own quotas, and the part of the fleet that this instance reaches.
func (v *View) Owners() (names []string, part float64) {
	if len(v.states) == 0 {
		return nil, 0
	}
	last := v.states[len(v.states)-1]
	return last.owners, last.part
}

// Owner returns the name of the instance that owns the quota of a tenant.
func (v *View) Owner(tenant string) string {
	if len(v.states) == 0 {
		return v.name
	}
	return ownerAmong(v.states[len(v.states)-1].owners, tenant)
}

func ownerAmong(owners []string, tenant string) string {
	nodes := make([]mtrendezvous.Node, 0, len(owners))
	for _, owner := range owners {
		nodes = append(nodes, mtrendezvous.Node{
			Name: owner,
		})
	}
	if len(nodes) == 0 {
		return ""
	}
	return mtrendezvous.ServingInstances(tenant, nodes, 1)[0].Name
}

// Capacity returns the part of the fleet that this instance may lease of a tenant's quota.
func (v *View) Capacity(tenant string, limit mtquota.Limit, bounds mtquota.Bounds, now time.Time) mtquota.Capacity {
	if len(v.states) == 0 || elapsed(v.updatedAt, now) > maxPause || v.Owner(tenant) != v.name {
		return mtquota.Capacity{}
	}
	largest := 1.0
	switch {
	case v.isAlone():
	case v.contactAt.IsZero() && v.isNew(now):
		largest = bounds.UnseenPart(limit)
	case v.contactAt.IsZero():
		// The others may be gone for good.
		largest = unseenPart
	case v.isDiscovering(now):
		largest = discoveryPart
	}
	last := v.states[len(v.states)-1]
	capacity := mtquota.Capacity{
		Present: min(largest, last.part),
		Settled: min(largest, last.part),
	}
	for _, earlier := range v.states[:len(v.states)-1] {
		since := now.Sub(earlier.until)
		if since >= mtquota.SettleTime {
			continue
		}
		switch owner := ownerAmong(earlier.owners, tenant); {
		case owner == v.name:
			capacity.Settled = min(capacity.Settled, earlier.part)
		case since < deadOwnerTime || !v.isSilent(owner):
			capacity.Settled = 0
		}
	}
	return capacity
}

// isSilent reports whether a known instance is not alive.
func (v *View) isSilent(name string) bool {
	return slices.ContainsFunc(v.fleet.Members, func(member Member) bool {
		return member.Name == name && !member.IsAlive
	})
}

// Terms returns the terms under which this instance holds shares.
func (v *View) Terms(limit mtquota.Limit, bounds mtquota.Bounds, now time.Time) mtquota.Terms {
	return mtquota.Terms{
		Limit:          limit,
		Bounds:         bounds,
		Holders:        float64(max(minLikelyHolders, v.fleet.Receivers)) / max(minPart, v.fleet.part(v.isNew(now))),
		IsLikelyHolder: v.fleet.IsReceiver || len(v.fleet.Members) <= minLikelyHolders,
	}
}
