package mtscheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtbandwidth"
)

const (
	linkMegabits       = 10
	linkBytesPerSecond = linkMegabits * 1e6 / 8
	linkProcessingTime = 170 * time.Millisecond
)

// linkRoute is a route of the simulated load on a link.
type linkRoute struct {
	name      string
	bytes     float64
	objective time.Duration
}

var (
	smallRoute = linkRoute{
		name:      "small",
		bytes:     2000,
		objective: 500 * time.Millisecond,
	}
	bigRoute = linkRoute{
		name:      "big",
		bytes:     90000,
		objective: time.Second,
	}
)

// linkSimulation sends requests to endpoints with free slots, whose responses pass a link one after the other.
type linkSimulation struct {
	scheduler *Scheduler
	now       time.Time
	linkFree  time.Time
	events    []event
	waiting   map[uint64]linkRoute
	arrivals  map[uint64]time.Time
	onTime    map[string]int
	lastID    uint64
	nextRun   time.Time
}

func newLinkSimulation(options ...Option) *linkSimulation {
	s := &linkSimulation{
		scheduler: NewScheduler("a", rand.New(rand.NewPCG(1, 2)), options...),
		now:       time.Unix(1000, 0),
		waiting:   map[uint64]linkRoute{},
		arrivals:  map[uint64]time.Time{},
		onTime:    map[string]int{},
	}
	s.scheduler.SetProbeRate(0)
	var endpoints []*Endpoint
	for i := range 60 {
		endpoints = append(endpoints, &Endpoint{
			ID:      fmt.Sprintf("e%02d", i),
			Address: fmt.Sprintf("10.0.0.%d:80", i),
			Centre:  "a",
			Slots:   4,
		})
	}
	s.scheduler.SetEndpoints(endpoints)
	return s
}

func (s *linkSimulation) at(moment time.Time, run func()) {
	added := event{
		at:  moment,
		run: run,
	}
	index, _ := slices.BinarySearchFunc(s.events, added, func(a, b event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, index, added)
}

func (s *linkSimulation) arrive(route linkRoute) {
	s.lastID++
	request := &Request{
		ID:        s.lastID,
		Route:     route.name,
		ArrivedAt: s.now,
		Objective: s.now.Add(route.objective),
		Deadline:  s.now.Add(4 * time.Second),
	}
	if s.scheduler.Enqueue(request, s.now) != nil {
		return
	}
	s.waiting[request.ID] = route
	s.arrivals[request.ID] = s.now
	s.run()
}

func (s *linkSimulation) run() {
	decisions := s.scheduler.Schedule(s.now)
	for _, assignment := range decisions.Assignments {
		s.send(assignment, s.waiting[assignment.ID])
	}
	if at := decisions.NextRun; !at.IsZero() && (s.nextRun.Before(s.now) || at.Before(s.nextRun)) {
		s.nextRun = at
		s.at(at, s.run)
	}
}

func (s *linkSimulation) send(assignment Assignment, route linkRoute) {
	sentAt, arrivedAt := s.now, s.arrivals[assignment.ID]
	s.at(s.now.Add(linkProcessingTime), func() {
		s.linkFree = latest(s.now, s.linkFree).Add(time.Duration(route.bytes / linkBytesPerSecond * float64(time.Second)))
		s.at(s.linkFree, func() {
			if s.now.Sub(arrivedAt) <= route.objective {
				s.onTime[route.name]++
			}
			s.scheduler.Complete(assignment, route.name, AttemptResult{
				Verdict:       Served,
				ResponseTime:  s.now.Sub(sentAt),
				ResponseBytes: int64(route.bytes),
			}, s.now)
			s.run()
		})
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// play offers the link a multiple of what it carries, nine of ten requests with small responses, and returns the ratios of
// the requests of each route that are on time.
func (s *linkSimulation) play(load float64, duration time.Duration) (small, big float64) {
	random := rand.New(rand.NewPCG(3, 4))
	mean := 0.9*smallRoute.bytes + 0.1*bigRoute.bytes
	interval := time.Duration(mean / linkBytesPerSecond / load * float64(time.Second))
	end := s.now.Add(duration)
	counts := map[string]int{}
	for at := s.now; at.Before(end); at = at.Add(time.Duration(random.ExpFloat64() * float64(interval))) {
		route := smallRoute
		if random.Float64() < 0.1 {
			route = bigRoute
		}
		counts[route.name]++
		s.at(at, func() {
			s.arrive(route)
		})
	}
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		s.now = next.at
		next.run()
	}
	return float64(s.onTime["small"]) / float64(counts["small"]), float64(s.onTime["big"]) / float64(counts["big"])
}

// withTestLink makes requests wait for the simulated link.
func withTestLink() Option {
	return func(s *Scheduler) {
		WithLink(mtbandwidth.NewLimiter(linkMegabits), s.BytesAhead)(s)
	}
}

// The link is the only narrow place. Small responses are on time, and as many big ones as delay the others little: of this
// mix the link takes 0.4 of its bytes.
func TestResponsesDoNotQueueInFullLink(t *testing.T) {
	for _, load := range []float64{1, 1.2, 1.5} {
		small, big := newLinkSimulation(withTestLink()).play(load, 20*time.Second)
		require.GreaterOrEqual(t, small, 0.95, "load %.1f", load)
		require.GreaterOrEqual(t, big, 0.35/load, "load %.1f", load)

		naive, _ := newLinkSimulation().play(load, 20*time.Second)
		require.Less(t, naive, small, "load %.1f: without a limit", load)
		t.Logf("load %.1f: small %.2f, big %.2f; without a limit small %.2f", load, small, big, naive)
	}
}

func TestWideLinkChangesNothing(t *testing.T) {
	small, big := newLinkSimulation(withTestLink()).play(0.3, 20*time.Second)
	require.GreaterOrEqual(t, small, 0.99)
	require.GreaterOrEqual(t, big, 0.99)
}
