package mtquota

import (
	"math"
	"slices"
	"time"
)

const (
	// SettleTime is how long the owner counts a lease, from when it granted it. A holder counts holderLeaseTime from when it
	// sent its report, so every lease of another owner has ended by then.
	SettleTime = 2500 * time.Millisecond
	// transitTime is added to the time that a reported lease lasts.
	transitTime = SettleTime - holderLeaseTime
	// unassignedPart is the part of the capacity that is kept for new holders, and for requests that find no token at their
	// holder, while the utilization is below unassignedBelow. Above, it would refuse requests within the limit.
	unassignedPart  = 0.1
	unassignedBelow = 0.8
	// firstHolderPart is the part of what is free that the first report of a tenant gets: other holders would otherwise get
	// nothing before the next report of the first one.
	firstHolderPart = 0.5
	// idleDemand is added to the demand of each holder, in requests per second, so that an idle one gets a share, and the
	// holders of a tenant with a few requests per second get about the same.
	idleDemand = 0.3
	// poolPart is the part of a small tenant's limit that goes to the owner's own holder, to which the others turn.
	poolPart = 0.3
	// sharePrecision is the number of steps from 0 to 1 in messages. Shares are rounded where they are granted, so that a
	// holder reports exactly what the ledger has.
	sharePrecision = 1e6
)

// Capacity is the part of the fleet that an owner may lease.
type Capacity struct {
	// Present is the part that the owner reaches now, and Settled the least in SettleTime; it is 0 while leases of an
	// earlier owner may last.
	Present float64
	Settled float64
}

// Ledger records the leases of one tenant's quota at its owner. It is not safe for concurrent use.
type Ledger struct {
	// owner is the holder at the owner itself.
	owner string
	// leases are in the order in which the holders appeared, so that sums are the same in every run.
	leases []*lease
	// confirmed is the sum of the shares when a holder last reported one that was not in the ledger, at confirmedAt.
	confirmed   float64
	confirmedAt time.Time
	// spare is the number of tokens of what is not leased, at spareAt.
	spare   float64
	spareAt time.Time
}

// lease is what one holder may hold at most.
type lease struct {
	holder      string
	incarnation uint64
	number      uint32
	share       float64
	// lasts is how long the lease lasts from since.
	since  time.Time
	lasts  time.Duration
	demand float64
}

// NewLedger returns a ledger without leases; owner is the name of the holder at the owner itself. No lease was granted by any
// owner since a time, from when on tokens accrue.
func NewLedger(owner string, since time.Time) *Ledger {
	return &Ledger{
		owner:   owner,
		spareAt: since,
	}
}

// TakeSpare takes a token of what is not leased, for a request that finds none at its holder.
func (l *Ledger) TakeSpare(limit Limit, capacity Capacity, now time.Time) bool {
	l.refillSpare(limit, l.usable(capacity, now), now)
	if l.spare < 1 {
		return false
	}
	l.spare--
	return true
}

// IsSpareFull reports whether a new ledger could not have more tokens of what is not leased.
func (l *Ledger) IsSpareFull(limit Limit, capacity Capacity, now time.Time) bool {
	l.refillSpare(limit, l.usable(capacity, now), now)
	return l.spare >= l.usable(capacity, now)*limit.savedBurst()
}

// refillSpare adds the tokens that have accrued to what is not leased, and clips them to its part of the burst.
func (l *Ledger) refillSpare(limit Limit, usable float64, now time.Time) {
	unleased := max(0, usable-l.Leased(now))
	if elapsed := now.Sub(l.spareAt); elapsed > 0 {
		l.spare += unleased * limit.Rate * elapsed.Seconds()
		l.spareAt = now
	}
	l.spare = min(l.spare, unleased*limit.savedBurst())
}

// Report records the report of a holder and returns the grant that answers it; ok is false if the report is outdated.
func (l *Ledger) Report(
	holder string, incarnation uint64, report Report, limit Limit, capacity Capacity, now time.Time,
) (grant Grant, ok bool) {
	l.expire(now)
	l.refillSpare(limit, l.usable(capacity, now), now)
	current := l.find(holder)
	switch {
	case current == nil:
		current = &lease{
			holder:      holder,
			incarnation: incarnation,
		}
		l.leases = append(l.leases, current)
	case current.incarnation != incarnation:
		// The lease of a process ends with it.
		*current = lease{
			holder:      holder,
			incarnation: incarnation,
		}
	case int32(report.Number-current.number) <= 0:
		return Grant{}, false
	}
	l.record(current, report, now)
	usable := l.usable(capacity, now)
	unleased := usable - l.Leased(now)
	grant = Grant{
		Number: report.Number,
		Share:  l.grant(current, limit, usable, now),
	}
	if leased := unleased - (usable - l.Leased(now)); leased > 0 {
		// The tokens of the part that is leased now go with it.
		grant.Tokens = int(l.spare * leased / unleased)
		l.spare -= float64(grant.Tokens)
	}
	l.refillSpare(limit, usable, now)
	return grant, true
}

func (l *Ledger) find(holder string) *lease {
	for _, current := range l.leases {
		if current.holder == holder {
			return current
		}
	}
	return nil
}

// record replaces a lease by what its holder reports: no earlier grant can raise the share any more.
func (l *Ledger) record(current *lease, report Report, now time.Time) {
	held := 0.0
	if report.Left > 0 && report.Share > 0 {
		held = min(1, report.Share)
	}
	isConfirmed := held > current.share
	current.number = report.Number
	current.demand = max(0, report.Demand)
	if math.IsNaN(current.demand) || math.IsInf(current.demand, 0) {
		current.demand = 0
	}
	current.share = held
	current.since = now
	current.lasts = max(0, min(holderLeaseTime, report.Left)) + transitTime
	if isConfirmed {
		previous := 0.0
		if age(l.confirmedAt, now) < SettleTime {
			previous = l.confirmed
		}
		l.confirmed = max(previous, l.Leased(now))
		l.confirmedAt = now
	}
}

// usable returns the part of the limit that may be leased now. Shares that holders have confirmed may move between them, since
// no other owner can lease them.
func (l *Ledger) usable(capacity Capacity, now time.Time) float64 {
	confirmed := 0.0
	if age(l.confirmedAt, now) < SettleTime {
		confirmed = l.confirmed
	}
	return min(capacity.Present, max(capacity.Settled, confirmed))
}

// grant leases the holder its target as far as it is free, and returns the share. A lower share stays in the ledger until the
// holder reports it or the lease ends.
func (l *Ledger) grant(current *lease, limit Limit, usable float64, now time.Time) float64 {
	free := max(0, usable-l.Leased(now))
	if len(l.leases) == 1 && current.share == 0 {
		free *= firstHolderPart
	}
	granted := min(l.target(current, limit, usable), current.share+free)
	granted = math.Floor(granted*sharePrecision) / sharePrecision
	current.share = max(current.share, granted)
	current.since = now
	current.lasts = SettleTime
	return granted
}

// target returns the share that suits the demand of a holder: what is used of the limit is divided by demand, and the rest half
// evenly and half by demand.
func (l *Ledger) target(current *lease, limit Limit, usable float64) float64 {
	if limit.Rate <= 0 || usable <= 0 {
		return 0
	}
	holders := float64(len(l.leases))
	demand := 0.0
	for _, other := range l.leases {
		demand += other.demand
	}
	utilization := min(1, demand/(limit.Rate*usable))
	even := (1 - utilization) / 2
	if utilization < unassignedBelow {
		usable *= 1 - unassignedPart
	}
	byDemand := (current.demand + idleDemand) / (demand + idleDemand*holders)
	part := (1-even)*byDemand + even/holders
	if limit.Rate < smallRate && l.find(l.owner) != nil {
		part *= 1 - poolPart
		if current.holder == l.owner {
			part += poolPart
		}
	}
	return usable * part
}

// expire removes the leases that have ended. Unlike a holder, the owner goes by monotonic time alone: a wall clock that steps forward
// must not end leases that holders still use.
func (l *Ledger) expire(now time.Time) {
	l.leases = slices.DeleteFunc(l.leases, func(current *lease) bool {
		return now.Sub(current.since) >= current.lasts
	})
}

// Leased returns the sum of the shares that holders may hold.
func (l *Ledger) Leased(now time.Time) float64 {
	l.expire(now)
	sum := 0.0
	for _, current := range l.leases {
		sum += current.share
	}
	return sum
}

// Demand returns the requests per second that the holders report.
func (l *Ledger) Demand(now time.Time) float64 {
	l.expire(now)
	sum := 0.0
	for _, current := range l.leases {
		sum += current.demand
	}
	return sum
}

// Holders returns the number of leases.
func (l *Ledger) Holders(now time.Time) int {
	l.expire(now)
	return len(l.leases)
}
