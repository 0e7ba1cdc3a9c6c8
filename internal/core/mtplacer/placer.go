// The load patterns that the decisions answer:
//
//   - more requests than slots: a request waits here, not at an endpoint, and one that can't be answered within its
//     objective is refused on arrival (admit.go);
//   - hosts whose speed changes several times a second: the figures of the emptiest endpoints are looked up before a
//     request is sent, unless an answer brought one just now (choose.go);
//   - endpoints that slow down when nearly full: the number of requests at once is the one with the highest throughput,
//     and a slot that slows its neighbours is used last (curve.go);
//   - endpoints that fail, hang or start cold: they are passed over or rated slower (target.go).
//
// The flow of a request is Offer -> Bind -> sent -> End; Cancel takes it out at any time before Bind grants it.

package mtplacer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is one request that waits for an endpoint.
type Request struct {
	ID uint64
	// Route names the kind of work, whose duration is learned.
	Route   string
	Arrived time.Time
	// Objective is the moment until which an answer is worth most.
	Objective time.Time
	// Deadline is the moment after which no answer is of use.
	Deadline time.Time
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Avoid names the endpoints that had the request already.
	Avoid []string
	// Spare is set for an extra attempt, which only takes a slot that is free at once.
	Spare bool

	// late is set when the request can't be on time, and giveUp is when such a request has waited for long enough.
	late   bool
	giveUp time.Time
	// lookedAt is when the figures of endpoints were first asked for on behalf of the request.
	lookedAt time.Time
	// looked are the endpoints whose figures were last asked for on behalf of the request.
	looked []*Target
}

// Grant binds a waiting request to an endpoint.
type Grant struct {
	ID     uint64
	Target *Target
	// Level is the number of requests at the endpoint with this one, as estimated.
	Level int
	// Expected is how long the endpoint should take.
	Expected time.Duration
	// Pace is the slowness of the endpoint's host that the choice assumed, and Age how old that figure was, if it was Known.
	Pace  float64
	Age   time.Duration
	Known bool
}

// Placer holds the endpoints and the waiting requests of one service.
type Placer struct {
	centre  string
	targets []*Target
	queue   []*Request
	works   map[string]*work
	curve   *curve
	// pace is the mean slowness of the hosts, and taken the mean time at an endpoint.
	pace  mean
	taken mean
	// turned is the part of the requests that could be on time, but found no room, among the last ones.
	turned mean
	// crowd is the part of an endpoint's slots that requests of other instances take, and reported when an endpoint last told.
	crowd    mean
	reported time.Time
	// slowRatio is the mean ratio of the time at an endpoint on a slow host to its estimate, and scatter the mean distance of
	// this ratio from one on all hosts.
	slowRatio mean
	scatter   mean
	random    *rand.Rand
	// connections are those to the endpoints, or nil.
	connections connections
	// looks is the most looks at one endpoint a second.
	looks float64
	// told is set once an endpoint has told its figures, and untold is the number of answers without any before that.
	told   bool
	untold int
	// staying and healthy are reused, because callers hold a lock and must not wait for the collector.
	staying []*Target
	healthy []*Target
}

// NewPlacer returns a placer without endpoints for an instance in a data centre.
func NewPlacer(centre string, random *rand.Rand, options ...Option) *Placer {
	placer := &Placer{
		centre: centre,
		works:  map[string]*work{},
		curve:  newCurve(),
		pace: mean{
			value:  1,
			known:  true,
			weight: paceWeight,
		},
		taken: mean{
			weight: takenWeight,
		},
		turned: mean{
			known:  true,
			weight: turnedWeight,
		},
		crowd: mean{
			value:   crowded,
			known:   true,
			guessed: true,
			weight:  crowdWeight,
		},
		slowRatio: mean{
			value:  1,
			known:  true,
			weight: errorWeight,
		},
		scatter: mean{
			value:  scatterGuess,
			known:  true,
			weight: errorWeight,
		},
		random: random,
		looks:  looksDefault,
	}
	for _, option := range options {
		option(placer)
	}
	return placer
}

// looksDefault is the budget of looks at one endpoint a second until another is set.
const looksDefault = 20

// SetLooks sets the most looks at one endpoint a second; with 0, requests don't wait for any.
func (p *Placer) SetLooks(rate float64) {
	p.looks = rate
}

// SetTargets replaces the endpoints; one that stays must be passed with its old pointer.
func (p *Placer) SetTargets(targets []*Target) {
	slices.SortFunc(targets, func(a, b *Target) int {
		return cmp.Compare(a.ID, b.ID)
	})
	p.targets = targets
}

// Targets returns the endpoints by ID.
func (p *Placer) Targets() []*Target {
	return p.targets
}

// Len returns the number of requests that wait.
func (p *Placer) Len() int {
	return len(p.queue)
}

// Offer adds a request, or refuses it when it can't be answered in time.
func (p *Placer) Offer(request *Request, now time.Time) *Refusal {
	if refusal := p.admit(request, now); refusal != nil {
		return refusal
	}
	p.insert(request)
	return nil
}

func (p *Placer) insert(request *Request) {
	at, _ := slices.BinarySearchFunc(p.queue, request, compare)
	p.queue = slices.Insert(p.queue, at, request)
}

// compare orders requests: those that can still be on time, then by rank, then by objective.
func compare(a, b *Request) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Objective.Compare(b.Objective), cmp.Compare(a.ID, b.ID))
}

// Cancel takes a waiting request out and reports whether it had not been granted.
func (p *Placer) Cancel(id uint64) bool {
	for i, request := range p.queue {
		if request.ID == id {
			p.queue = slices.Delete(p.queue, i, i+1)
			return true
		}
	}
	return false
}

// Binding is what Bind came to.
type Binding struct {
	Grants []Grant
	// Drops are requests that waited and are given up.
	Drops []Drop
	// Looks are the endpoints whose figures should be looked up now.
	Looks []*Target
	// Wake is when to call again at the latest; zero when no request waits.
	Wake time.Time
}

// wakeAt makes the next call come at a moment at the latest.
func (b *Binding) wakeAt(at time.Time) {
	if b.Wake.IsZero() || at.Before(b.Wake) {
		b.Wake = at
	}
}

// Drop is a request that is given up.
type Drop struct {
	ID      uint64
	Refusal *Refusal
}

// Bind grants endpoints to waiting requests, and gives up those that wait in vain.
func (p *Placer) Bind(now time.Time) Binding {
	binding := Binding{
		Drops: p.overdue(now),
	}
	rest := p.queue[:0]
	hasRoom := len(p.queue) > 0 && p.hasRoom(now)
	for _, request := range p.queue {
		if !hasRoom {
			rest = append(rest, request)
			binding.wakeAt(p.due(request, now))
			continue
		}
		if len(rest) >= weighedMost && p.isCrowded(now) {
			rest = append(rest, request)
			binding.wakeAt(p.due(request, now))
			continue
		}
		grant, again := p.choose(request, now, &binding.Looks)
		if grant != nil {
			grant.Target.start()
			p.workOf(request).sent(now)
			binding.Grants = append(binding.Grants, *grant)
			hasRoom = p.hasRoom(now)
			continue
		}
		rest = append(rest, request)
		binding.wakeAt(p.due(request, now))
		if !again.IsZero() {
			binding.wakeAt(again)
		}
	}
	clear(p.queue[len(rest):])
	p.queue = rest
	return binding
}

// Expected returns how long a request of a route takes at an endpoint that is otherwise idle.
func (p *Placer) Expected(request *Request) time.Duration {
	return p.workOf(request).value()
}

// End records that a granted request is over.
func (p *Placer) End(grant Grant, route string, result Result, now time.Time) {
	grant.Target.end(result, now)
	p.learnError(grant, result)
	if result.Verdict != Served {
		return
	}
	p.taken.add(float64(result.Took))
	normal := float64(result.Took) / max(1, grant.Pace)
	if found := p.works[route]; found != nil {
		// The work estimate and the curve are learned from each other's remainder.
		p.curve.learn(grant.Level, normal/max(1, float64(found.value())))
		found.size.add(float64(result.Size))
		found.learn(time.Duration(normal / p.curve.factor(grant.Level, grant.Target.Slots)))
	}
}

// Observe takes in a report of an endpoint's load.
func (p *Placer) Observe(target *Target, report Report, now time.Time) {
	// Figures that follow each other closely are of the same draw of the host's speed, and slow hosts are asked more often.
	if report.Pace > 0 && now.Sub(target.reported) > 2*paceLife {
		p.pace.add(report.Pace)
	}
	p.told = true
	p.reported = now
	target.observe(report, now)
	p.crowd.add(min(1, target.others/float64(max(1, target.Slots))))
}

// untoldLeast is the number of answers without figures after which a service counts as one that tells none.
const untoldLeast = 5

// Untold records an answer without figures, to a request or to a look.
func (p *Placer) Untold(target *Target, now time.Time) {
	asked := target.looking
	target.looking = false
	if !p.told {
		p.untold++
		return
	}
	if asked {
		target.unseen(now)
	}
}

// canLook reports whether endpoints may be asked for their figures, and tell them.
func (p *Placer) canLook() bool {
	return p.looks > 0 && (p.told || p.untold < untoldLeast)
}

// isSlow reports whether a host is slower than a usual one of its service.
func (p *Placer) isSlow(pace float64) bool {
	return pace > max(goodPace, p.pace.value)
}

// Unseen records that an endpoint did not tell its figures.
func (p *Placer) Unseen(target *Target, now time.Time) {
	target.unseen(now)
}
