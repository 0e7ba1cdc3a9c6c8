package mtplacer

import (
	"math"
	"slices"
	"time"
)

const (
	// returnSoonest is the shortest time after which a refused caller is asked to come back.
	returnSoonest = 100 * time.Millisecond
	// returnPart is the part of a caller's time left that it waits at most before it comes back.
	returnPart = 1.0 / 3
	// spareDivisor is the part of the slots that must be free for an extra attempt, as a divisor.
	spareDivisor = 4
	// lateShare is the part of the slots for which requests that can't be on time may wait.
	lateShare = 0.15
	// strained is the part of the requests that could be on time and find no room from which on late ones must not wait.
	strained = 0.05
	// lateReserve is the part of the slots that is kept free for requests that can still be on time.
	lateReserve = 0.2
)

// Refusal tells why a request is not served, and when its caller should come back.
type Refusal struct {
	Reason string
	// Wait is the expected time until the request's turn, and Work the one at the endpoint after that.
	Wait  time.Duration
	Work  time.Duration
	After time.Duration
}

// The reasons of refusals.
const (
	// NoEndpoint means that the service has no endpoint in use.
	NoEndpoint = "noendpoint"
	// NoOther means that all endpoints in use have had the request.
	NoOther = "noother"
	// Overload means that the answer would come too late.
	Overload = "overload"
	// NoSpare means that no slot is free for an extra attempt.
	NoSpare = "nospare"
)

// admit decides on arrival whether a request may wait.
func (p *Placer) admit(request *Request, now time.Time) *Refusal {
	room := p.roomNow(now)
	if room.endpoints == 0 {
		return p.refuseClosed(request, room, now)
	}
	if !p.hasOther(request, now) {
		return p.refuse(request, NoOther, 0, room, now)
	}
	if !p.canEnd(request, now) {
		return p.refuseHopeless(request, room, now)
	}
	if request.Spare {
		if !p.hasSpare(room) {
			return p.refuse(request, NoSpare, 0, room, now)
		}
		return nil
	}
	request.late = !p.canBeOnTime(request, 0, room, now)
	ahead := p.ahead(request)
	if request.late {
		waits := !p.isStrained() && ahead == p.lateWaiting() && float64(ahead) < lateShare*float64(room.slots)
		if !waits && ahead >= room.spare() {
			return p.refuseLate(request, ahead, room, now)
		}
		request.giveUp = earlier(now.Add(time.Duration(returnPart*float64(request.Deadline.Sub(now)))), p.lastStart(request, now))
		return nil
	}
	wait := time.Duration(0)
	if ahead >= room.free {
		wait = p.wait(request, ahead-room.free+1, room.slots, now)
	}
	if p.canBeOnTime(request, wait, room, now) {
		p.turned.add(0)
		return nil
	}
	p.turned.add(1)
	return p.refuse(request, Overload, wait, room, now)
}

// HasSpare reports whether a slot is free for an extra attempt.
func (p *Placer) HasSpare(now time.Time) bool {
	return p.hasSpare(p.roomNow(now))
}

func (p *Placer) hasSpare(room room) bool {
	return len(p.queue) == 0 && room.free > room.slots/spareDivisor
}

// room is what the endpoints can take at a moment.
type room struct {
	endpoints int
	// slots is the number of requests that they take at once, and free how many of these are free on hosts that are not
	// known to be slow.
	slots int
	free  int
	// factor is how much longer work takes when all slots are taken.
	factor float64
}

// spare returns the number of free slots beyond those kept for requests that can still be on time.
func (r room) spare() int {
	return r.free - int(math.Ceil(lateReserve*float64(r.slots)))
}

func (p *Placer) roomNow(now time.Time) room {
	result := room{
		factor: 1,
	}
	crowd := p.crowdShare(now)
	free := 0.0
	for _, target := range p.usable(now) {
		slots := p.room(target, now)
		result.endpoints++
		result.slots += slots
		result.factor = max(result.factor, p.curve.factor(slots, target.Slots))
		// A host whose last figure was good is not known to be slow, whatever its age.
		if target.pace <= goodPace || !p.isSlow(target.paceNow(1, now)) {
			free += max(0, float64(slots)-target.expectedLevel(crowd, now))
		}
	}
	result.free = int(free)
	return result
}

// canBeOnTime reports whether a request that starts after a wait can be answered within its objective.
func (p *Placer) canBeOnTime(request *Request, wait time.Duration, room room, now time.Time) bool {
	return now.Add(wait + p.workAfter(request, wait, room)).Before(request.Objective)
}

// workAfter returns how long a request takes at an endpoint; one that has to wait gets a slot beside all others.
func (p *Placer) workAfter(request *Request, wait time.Duration, room room) time.Duration {
	work := p.workOf(request).value()
	if wait > 0 {
		return time.Duration(room.factor * float64(work))
	}
	return work
}

// isStrained reports whether requests that could be on time find no room, so that no slot will be left over for late ones.
func (p *Placer) isStrained() bool {
	return p.turned.value >= strained
}

// refuseLate refuses a request that can't be on time, of which a number go first.
func (p *Placer) refuseLate(request *Request, ahead int, room room, now time.Time) *Refusal {
	return p.refuse(request, Overload, p.wait(request, ahead-room.spare()+1, room.slots, now), room, now)
}

// refuseHopeless refuses a request that no host can end before its deadline.
func (p *Placer) refuseHopeless(request *Request, room room, now time.Time) *Refusal {
	p.workOf(request).blocked++
	return p.refuse(request, Overload, 0, room, now)
}

// hasOther reports whether any endpoint is left for a request beside those that had it already.
func (p *Placer) hasOther(request *Request, now time.Time) bool {
	return len(request.Avoid) == 0 || slices.ContainsFunc(p.targets, func(target *Target) bool {
		return target.IsOpen(now) && !slices.Contains(request.Avoid, target.ID)
	})
}

// refuseClosed refuses a request of a service without an endpoint in use. If endpoints want no requests for a time, its caller is
// not told to come back before the first of them does.
func (p *Placer) refuseClosed(request *Request, room room, now time.Time) *Refusal {
	refusal := p.refuse(request, NoEndpoint, 0, room, now)
	opens := time.Time{}
	for _, target := range p.targets {
		if !target.Draining && (opens.IsZero() || target.rested.Before(opens)) {
			opens = target.rested
		}
	}
	if !opens.IsZero() {
		refusal.After = max(refusal.After, opens.Sub(now))
	}
	return refusal
}

// due returns when a waiting request has to be decided on again although nothing has happened to any endpoint.
func (p *Placer) due(request *Request, now time.Time) time.Time {
	switch {
	case request.Spare:
		return p.lastStart(request, now)
	case request.late:
		return request.giveUp
	default:
		return request.Objective.Add(-p.workOf(request).value())
	}
}

// lastStart returns when a request must be sent at the latest to end before its deadline.
func (p *Placer) lastStart(request *Request, now time.Time) time.Time {
	if p.workOf(request).isDoubtful(now) {
		return request.Deadline
	}
	return request.Deadline.Add(-p.cautious(p.workOf(request).value(), 1))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// overdue gives up waiting requests that can no longer be on time, unless a slot is left over for them soon.
//
// Serving them first, because their objective is nearest, would make each request after them late as well.
func (p *Placer) overdue(now time.Time) []Drop {
	if len(p.queue) == 0 {
		return nil
	}
	room := p.roomNow(now)
	var drops []Drop
	var late []*Request
	rest := p.queue[:0]
	for _, request := range p.queue {
		switch {
		case room.endpoints == 0:
			drops = append(drops, Drop{
				ID:      request.ID,
				Refusal: p.refuseClosed(request, room, now),
			})
		case !p.hasOther(request, now):
			drops = append(drops, Drop{
				ID:      request.ID,
				Refusal: p.refuse(request, NoOther, 0, room, now),
			})
		case !p.canEnd(request, now):
			drops = append(drops, Drop{
				ID:      request.ID,
				Refusal: p.refuseHopeless(request, room, now),
			})
		case request.Spare, !request.late && p.canBeOnTime(request, 0, room, now):
			rest = append(rest, request)
		case !request.late:
			late = append(late, request)
		case !now.Before(request.giveUp), p.isStrained() && len(rest) >= room.spare():
			drops = append(drops, Drop{
				ID:      request.ID,
				Refusal: p.refuseLate(request, len(rest), room, now),
			})
		default:
			rest = append(rest, request)
		}
	}
	clear(p.queue[len(rest):])
	p.queue = rest
	return append(drops, p.admitLate(late, now)...)
}

// admitLate puts requests that have become late back into the queue, or gives them up.
func (p *Placer) admitLate(late []*Request, now time.Time) []Drop {
	var drops []Drop
	for _, request := range late {
		request.late = true
		p.turned.add(1)
		if refusal := p.admit(request, now); refusal != nil {
			drops = append(drops, Drop{
				ID:      request.ID,
				Refusal: refusal,
			})
			continue
		}
		p.insert(request)
	}
	return drops
}

// lateWaiting returns the number of waiting requests that can't be on time.
func (p *Placer) lateWaiting() int {
	count := 0
	for _, waiting := range p.queue {
		if waiting.late {
			count++
		}
	}
	return count
}

// ahead returns the number of waiting requests whose turn comes first.
func (p *Placer) ahead(request *Request) int {
	count := 0
	for _, waiting := range p.queue {
		if compare(waiting, request) <= 0 {
			count++
		}
	}
	return count
}

// wait estimates how long it takes until a number of slots have been freed for this instance, which gets those that others leave;
// until the first answer, the time of the request's own work stands in for that of the others.
func (p *Placer) wait(request *Request, turns, slots int, now time.Time) time.Duration {
	taken := p.taken.value
	if !p.taken.known {
		taken = float64(p.workOf(request).value())
	}
	own := max(1, float64(slots)*max(ownLeast, 1-p.crowdShare(now)))
	return time.Duration(float64(max(0, turns)) * taken / own)
}

func (p *Placer) refuse(request *Request, reason string, wait time.Duration, room room, now time.Time) *Refusal {
	most := time.Duration(returnPart * float64(request.Deadline.Sub(now)))
	after := max(wait, time.Duration((0.4+0.6*p.random.Float64())*float64(most)))
	return &Refusal{
		Reason: reason,
		Wait:   wait,
		Work:   p.workAfter(request, wait, room),
		After:  max(returnSoonest, min(after, most)),
	}
}
