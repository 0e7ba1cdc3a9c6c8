package mtplacer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// site is a pool of endpoints on noisy hosts with callers, played in virtual time without goroutines.
//
// The host of an endpoint is slow for a quarter of the time, and its speed is drawn anew every 150 ms. Work takes as long
// as the host's speed at its start says, and longer when the endpoint is nearly full.
type site struct {
	placer  *Placer
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  []event
	hosts   map[string]*host
	asked   map[uint64]*caller
	naive   bool
	next    uint64
	tally   []outcome
	looks   int
	retries bool
	wake    time.Time
	// work, objective and deadline are those of the requests, and an endpoint stops work at the deadline when stops is set.
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	stops     bool
	// doomed is the number of requests that were sent although the estimate was beyond their time, and failed.
	doomed int
	sends  int
}

type event struct {
	at time.Time
	do func()
}

type host struct {
	target  *Target
	running int
	pace    float64
	drawn   time.Time
	// mute is set while the endpoint leaves looks unanswered.
	mute bool
}

type caller struct {
	came    time.Time
	request *Request
	retried int
}

type outcome struct {
	came    time.Time
	took    time.Duration
	served  bool
	onTime  bool
	slow    bool
	refused bool
}

const (
	siteWork      = 120 * time.Millisecond
	siteObjective = 300 * time.Millisecond
	siteDeadline  = 2500 * time.Millisecond
	siteRoute     = "menu"
	siteNoise     = 5.0
	siteNoiseRate = 0.25
	siteKnee      = 1.7
	siteRedraw    = 150 * time.Millisecond
	lookTravel    = 2 * time.Millisecond
)

func newSite(endpoints, slots int, seed uint64, naive bool) *site {
	s := &site{
		random: rand.New(rand.NewPCG(seed, 1)),
		now:    time.Unix(1000, 0),
		hosts:  map[string]*host{},
		asked:  map[uint64]*caller{},
		naive:  naive,

		work:      siteWork,
		objective: siteObjective,
		deadline:  siteDeadline,
	}
	s.start = s.now
	s.placer = NewPlacer("a", rand.New(rand.NewPCG(seed, 2)))
	var targets []*Target
	for i := range endpoints {
		target := &Target{
			ID:      fmt.Sprintf("e%02d", i),
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Centre:  "a",
			Slots:   slots,
		}
		targets = append(targets, target)
		s.hosts[target.ID] = &host{
			target: target,
		}
	}
	s.placer.SetTargets(targets)
	return s
}

func (s *site) at(after time.Duration, do func()) {
	added := event{
		at: s.now.Add(after),
		do: do,
	}
	index, _ := slices.BinarySearchFunc(s.events, added, func(a, b event) int {
		return cmp.Or(a.at.Compare(b.at), -1)
	})
	s.events = slices.Insert(s.events, index, added)
}

func (s *site) speed(h *host) float64 {
	if s.now.Sub(h.drawn) >= siteRedraw {
		h.drawn = s.now
		h.pace = 1
		if s.random.Float64() < siteNoiseRate {
			h.pace = siteNoise
		}
	}
	return h.pace
}

// arrive lets callers come at a rate for a span, as a Poisson process.
func (s *site) arrive(from, span time.Duration, rate float64) {
	for at := from; ; {
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if at >= from+span {
			return
		}
		s.at(at, func() {
			s.offer(&caller{
				came: s.now,
			})
		})
	}
}

func (s *site) offer(c *caller) {
	s.next++
	c.request = &Request{
		ID:        s.next,
		Route:     siteRoute,
		Arrived:   s.now,
		Objective: c.came.Add(s.objective),
		Deadline:  c.came.Add(s.deadline),
	}
	s.asked[s.next] = c
	if s.naive {
		s.placer.queue = append(s.placer.queue, c.request)
		s.pump()
		return
	}
	if refusal := s.placer.Offer(c.request, s.now); refusal != nil {
		delete(s.asked, s.next)
		s.refuse(c, refusal)
		return
	}
	s.pump()
}

func (s *site) refuse(c *caller, refusal *Refusal) {
	if s.retries && c.retried < 2 && s.now.Add(refusal.After).Before(c.came.Add(s.deadline)) {
		c.retried++
		s.at(refusal.After, func() {
			s.offer(c)
		})
		return
	}
	s.tally = append(s.tally, outcome{
		came:    c.came,
		refused: true,
	})
}

// pump binds what can be bound; the naive version takes the endpoint with the fewest own requests, in order of arrival.
func (s *site) pump() {
	if s.naive {
		s.pumpNaive()
		return
	}
	binding := s.placer.Bind(s.now)
	for _, grant := range binding.Grants {
		s.run(grant)
	}
	for _, drop := range binding.Drops {
		dropped := s.asked[drop.ID]
		delete(s.asked, drop.ID)
		s.refuse(dropped, drop.Refusal)
	}
	for _, target := range binding.Looks {
		s.looks++
		h := s.hosts[target.ID]
		if h.mute {
			s.at(150*time.Millisecond, func() {
				s.placer.Unseen(target, s.now)
				s.pump()
			})
			continue
		}
		s.at(lookTravel, func() {
			s.placer.Observe(target, s.report(h, target.Inflight()), s.now)
			s.pump()
		})
	}
	if wake := binding.Wake; !wake.IsZero() && (!s.wake.After(s.now) || wake.Before(s.wake)) {
		s.wake = wake
		s.at(wake.Sub(s.now), s.pump)
	}
}

func (s *site) pumpNaive() {
	for len(s.placer.queue) > 0 {
		best := slices.MinFunc(s.placer.targets, func(a, b *Target) int {
			return cmp.Compare(a.inflight, b.inflight)
		})
		if best.inflight >= best.Slots {
			return
		}
		request := s.placer.queue[0]
		s.placer.queue = s.placer.queue[1:]
		best.start()
		s.run(Grant{
			ID:     request.ID,
			Target: best,
			Level:  best.inflight,
			Pace:   1,
		})
	}
}

func (s *site) report(h *host, own int) Report {
	return Report{
		Running: h.running,
		Slots:   h.target.Slots,
		Pace:    s.speed(h),
		Own:     own,
	}
}

func (s *site) run(grant Grant) {
	c := s.asked[grant.ID]
	delete(s.asked, grant.ID)
	h := s.hosts[grant.Target.ID]
	pace := s.speed(h)
	h.running++
	took := float64(s.work) * pace * (0.7 + 0.6*s.random.Float64())
	if float64(h.running) > 0.8*float64(h.target.Slots) {
		took *= siteKnee
	}
	s.sends++
	verdict := Served
	if left := c.came.Add(s.deadline).Sub(s.now); s.stops && took > float64(left) {
		took = float64(left)
		verdict = Failed
		if grant.Expected >= left*9/10 {
			s.doomed++
		}
	}
	s.at(time.Duration(took), func() {
		h.running--
		s.placer.End(grant, siteRoute, Result{
			Verdict: verdict,
			Took:    time.Duration(took),
		}, s.now)
		s.placer.Observe(grant.Target, s.report(h, grant.Target.Inflight()), s.now)
		total := s.now.Sub(c.came)
		s.tally = append(s.tally, outcome{
			came:   c.came,
			took:   total,
			served: verdict == Served && total <= s.deadline,
			onTime: verdict == Served && total <= s.objective,
			slow:   pace > 1,
		})
		s.pump()
	})
}

func (s *site) play() {
	for len(s.events) > 0 {
		first := s.events[0]
		s.events = s.events[1:]
		s.now = first.at
		first.do()
	}
}

// share returns the part of the callers who came in a span for whom a condition holds.
func (s *site) share(from, to time.Duration, holds func(outcome) bool) float64 {
	all, some := 0, 0
	for _, o := range s.tally {
		if came := o.came.Sub(s.start); came < from || came >= to {
			continue
		}
		all++
		if holds(o) {
			some++
		}
	}
	return float64(some) / float64(max(1, all))
}

func isOnTime(o outcome) bool { return o.onTime }

// both plays the same load with the placer and with the naive version.
func both(t *testing.T, load func(s *site), check func(t *testing.T, placer, naive *site)) {
	t.Helper()
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			var sites [2]*site
			for i, naive := range []bool{false, true} {
				sites[i] = newSite(14, 2, seed, naive)
				load(sites[i])
				sites[i].play()
			}
			check(t, sites[0], sites[1])
		})
	}
}
