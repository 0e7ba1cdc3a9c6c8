package mtplacer

import (
	"slices"
	"time"
)

const (
	// lookFresh is the age up to which the figures of an endpoint are used as they are, and lookLeast that up to which no new
	// ones are asked for: they are of the same round of looks.
	lookFresh = 40 * time.Millisecond
	lookLeast = 8 * time.Millisecond
	// lookCost is the time that a look takes away from a request.
	lookCost = 2 * time.Millisecond
	// lookWait is how long an endpoint may take to tell its figures before it is passed over, and lookMost how long a
	// request waits for figures in all.
	lookWait = 8 * time.Millisecond
	lookMost = 60 * time.Millisecond
	// lookAgain is the time between two looks at an endpoint that is slow.
	lookAgain = 25 * time.Millisecond
	// lookWidth is the number of endpoints whose figures are asked for at once.
	lookWidth = 2
	// holdMost is how long a request waits for a better host at most: a host that is slow for longer stays so.
	holdMost = 500 * time.Millisecond
	// sampleWidth is the number of endpoints that a choice weighs; the best of 24 is as good as the best of hundreds.
	sampleWidth = 24
	// nearWidth is the number of those that are taken from the own data centre first.
	nearWidth = 16
	// goodPace is the slowness up to which a host is as good as any other.
	goodPace = 1.5
	// spread is the part of the estimate that is drawn, so that equal endpoints share the requests.
	spread = 0.05
	// farCost is the extra cost of an endpoint in another data centre, as a part of the estimate, and farSize the size of an
	// answer, in bytes, that adds as much as the whole estimate, up to farMost: bytes between data centres are paid for.
	farCost = 0.03
	farSize = 250e3
	farMost = 0.4
	// failingCost is the extra cost of an endpoint that always fails, as a multiple of the estimate.
	failingCost = 5
)

type option struct {
	target   *Target
	level    int
	pace     float64
	expected time.Duration
	rank     float64
}

// choose grants an endpoint to a request, or returns when to try again.
func (p *Placer) choose(request *Request, now time.Time, looks *[]*Target) (*Grant, time.Time) {
	if p.isCrowded(now) && request.isLooking(now) {
		// Weighing the endpoints again for each event of a full pool costs more than a chance find of another request is worth.
		return nil, now.Add(lookWait)
	}
	all := p.options(request, now)
	if len(all) == 0 {
		return nil, time.Time{}
	}
	options := p.inTime(request, all, now)
	if len(options) == 0 {
		// A host may become faster, or another endpoint may free a slot, while the request can still end in time.
		if p.canLook() {
			p.look(request, all, now, looks)
		}
		return nil, now.Add(lookAgain)
	}
	best := options[0]
	if p.mayLook(request, now) {
		var stale bool
		if best, stale = p.firstKnown(options, now); stale {
			return nil, p.look(request, options, now, looks)
		}
	}
	if p.isWorthHold(request, best, now) {
		p.look(request, options, now, looks)
		return nil, now.Add(lookAgain)
	}
	return &Grant{
		ID:       request.ID,
		Target:   best.target,
		Level:    best.level,
		Expected: best.expected,
		Pace:     best.pace,
		Age:      now.Sub(best.target.reported),
		Known:    !best.target.reported.IsZero(),
	}, time.Time{}
}

// isLooking reports whether none of the looks for a request was answered, and some may still be.
func (r *Request) isLooking(now time.Time) bool {
	if len(r.looked) == 0 {
		return false
	}
	return !slices.ContainsFunc(r.looked, func(target *Target) bool {
		return !target.looking || now.Sub(target.lookedAt) >= lookWait
	})
}

// mayLook reports whether a request may still wait for figures.
func (p *Placer) mayLook(request *Request, now time.Time) bool {
	return p.canLook() && (request.lookedAt.IsZero() || now.Sub(request.lookedAt) < lookMost || p.isCrowded(now))
}

// firstKnown returns the cheapest option, and whether its figures are stale and a look is worth while; endpoints that
// leave a look unanswered are passed over.
func (p *Placer) firstKnown(options []option, now time.Time) (best option, stale bool) {
	for _, option := range options {
		target := option.target
		switch {
		case isFresh(option, now):
			return option, false
		case target.looking && now.Sub(target.lookedAt) < lookWait, !target.looking && p.mayLookAgain(target, now):
			return option, true
		}
	}
	return options[0], false
}

// isFresh reports whether the figures of an endpoint are good enough to choose it by. They are not when its host may have
// become slow since, and the time that this costs the request on average is longer than a look. An endpoint that does not tell
// its slowness has no such figure that could age.
func isFresh(option option, now time.Time) bool {
	age := now.Sub(option.target.reported)
	switch {
	case age <= lookLeast:
		return true
	case age > lookFresh:
		return false
	case option.target.pace == 0:
		return true
	}
	loss := float64(option.expected) * (1 - option.target.pace/option.pace)
	return loss <= float64(lookCost)
}

// mayLookAgain reports whether enough time has passed since the last look at an endpoint; a slow host stays so for longer.
func (p *Placer) mayLookAgain(target *Target, now time.Time) bool {
	pause := lookLeast
	if p.isSlow(target.pace) {
		pause = lookAgain
	}
	return now.Sub(target.lookedAt) >= pause
}

// isWorthHold reports whether a request should wait for a better host than the best of those with room.
//
// The speed of a host at the start of a request holds for all of its work, and the speed of hosts is drawn anew every
// paceLife or so. Waiting for that costs less than a start on a slow host.
func (p *Placer) isWorthHold(request *Request, best option, now time.Time) bool {
	if !p.canLook() || !p.isSlow(best.pace) || !request.lookedAt.IsZero() && now.Sub(request.lookedAt) > holdMost {
		return false
	}
	gain := float64(best.expected) * (1 - p.pace.value/best.pace)
	return gain > float64(paceLife) && now.Add(paceLife+best.expected).Before(request.Deadline)
}

// options returns the endpoints with room for a request, cheapest first.
func (p *Placer) options(request *Request, now time.Time) []option {
	kind := p.workOf(request)
	work := float64(kind.value())
	far := min(farMost, farCost+kind.size.value/farSize)
	var options []option
	for _, target := range p.withLooked(p.sample(now), request, now) {
		if slices.Contains(request.Avoid, target.ID) {
			continue
		}
		level := target.level(now) + 1
		if level > p.room(target, now) {
			continue
		}
		pace := target.paceNow(p.pace.value, now)
		expected := work * pace * p.curve.factor(level, target.Slots)
		if now.Before(target.Warm) {
			expected *= coldFactor
		}
		// The neighbours of a slot that slows them pay as well.
		neighbours := work * float64(level-1) * (p.curve.factor(level, target.Slots) - p.curve.factor(level-1, target.Slots))
		rank := expected*(1+failingCost*target.failing) + neighbours
		if target.Centre != p.centre {
			rank += work * far
		}
		rank += work * p.dialCostOf(target)
		rank += work * spread * p.random.Float64()
		options = append(options, option{
			target:   target,
			level:    level,
			pace:     pace,
			expected: time.Duration(expected),
			rank:     rank,
		})
	}
	slices.SortFunc(options, func(a, b option) int {
		switch {
		case a.rank < b.rank:
			return -1
		case a.rank > b.rank:
			return 1
		default:
			return 0
		}
	})
	return options
}

// room returns how many requests an endpoint takes at once.
func (p *Placer) room(target *Target, now time.Time) int {
	if target.failures >= failuresToEject {
		return 1
	}
	return p.curve.best(target.Slots)
}

// look asks for the figures of the best endpoints that are stale, unless some are under way for the request, and returns when
// to go on without them.
func (p *Placer) look(request *Request, options []option, now time.Time, looks *[]*Target) time.Time {
	if request.lookedAt.IsZero() {
		request.lookedAt = now
	}
	if slices.ContainsFunc(request.looked, func(target *Target) bool {
		return target.looking && now.Sub(target.lookedAt) < lookWait
	}) {
		return now.Add(lookWait)
	}
	request.looked = request.looked[:0]
	for _, option := range options {
		target := option.target
		if len(request.looked) >= lookWidth {
			break
		}
		if target.looking {
			request.looked = append(request.looked, target)
			continue
		}
		if isFresh(option, now) || !p.mayLookAgain(target, now) || !target.takeLook(p.looks, now) {
			continue
		}
		target.looking = true
		target.lookedAt = now
		*looks = append(*looks, target)
		request.looked = append(request.looked, target)
	}
	return now.Add(lookWait)
}

// sample returns endpoints that may get a request: all of a small pool, and a part of a large one that is drawn anew each
// time, so that the cost of a choice does not grow with the pool and instances do not all choose the same endpoint. Most of
// the part are in the own data centre, where there are such with room.
func (p *Placer) sample(now time.Time) []*Target {
	usable := p.usable(now)
	if len(usable) <= sampleWidth {
		return usable
	}
	near := make([]*Target, 0, sampleWidth)
	far := make([]*Target, 0, sampleWidth)
	start := p.random.IntN(len(usable))
	for i := range usable {
		target := usable[(start+i)%len(usable)]
		if target.level(now) >= p.room(target, now) {
			continue
		}
		if target.Centre == p.centre && len(near) < nearWidth {
			near = append(near, target)
		} else if len(far) < sampleWidth {
			far = append(far, target)
		}
		if len(near) == nearWidth && len(far) >= sampleWidth-nearWidth {
			break
		}
	}
	return append(near, far[:min(len(far), sampleWidth-len(near))]...)
}

// withLooked adds the endpoints that were asked for a request to the sample that is drawn for it, as far as they are in use.
func (p *Placer) withLooked(sample []*Target, request *Request, now time.Time) []*Target {
	for _, target := range request.looked {
		if !target.IsOpen(now) || target.IsEjected(now) || slices.Contains(sample, target) || !slices.Contains(p.targets, target) {
			continue
		}
		sample = append(sample, target)
	}
	return sample
}

// hasRoom reports whether any endpoint can take another request.
func (p *Placer) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(p.usable(now), func(target *Target) bool {
		return target.level(now) < p.room(target, now)
	})
}

// usable returns the endpoints that may get requests; ejected ones count when most are. The slice is valid until the next
// call.
func (p *Placer) usable(now time.Time) []*Target {
	p.staying, p.healthy = p.staying[:0], p.healthy[:0]
	for _, target := range p.targets {
		if !target.IsOpen(now) {
			continue
		}
		p.staying = append(p.staying, target)
		if !target.IsEjected(now) {
			p.healthy = append(p.healthy, target)
		}
	}
	if 3*len(p.healthy) < len(p.staying) {
		return p.staying
	}
	return p.healthy
}
