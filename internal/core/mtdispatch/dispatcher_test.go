package mtdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtdispatch"
	"github.com/mangotack/mangotack/internal/core/mtendpoint"
	"github.com/mangotack/mangotack/internal/core/mtload"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const step = time.Millisecond

// pool plays endpoints for a dispatcher in steps of a millisecond.
type pool struct {
	dispatcher *mtdispatch.Dispatcher
	random     *rand.Rand
	endpoints  []*mtendpoint.Endpoint
	running    []run
	now        time.Time
	next       uint64
	work       map[string]time.Duration
	fails      map[string]bool
	started    map[string]int
	failed     int
	deepest    map[string]int
}

type run struct {
	endpoint *mtendpoint.Endpoint
	team     string
	begun    time.Time
	ends     time.Time
}

func newPool(size int) *pool {
	p := &pool{
		dispatcher: mtdispatch.NewDispatcher("a"),
		random:     rand.New(rand.NewPCG(1, 1)),
		now:        start,
		work:       map[string]time.Duration{},
		fails:      map[string]bool{},
		started:    map[string]int{},
		deepest:    map[string]int{},
	}
	for i := range size {
		endpoint := &mtendpoint.Endpoint{
			Name:   fmt.Sprint("endpoint-", i),
			Centre: "a",
			Slots:  2,
			Lead:   true,
		}
		p.endpoints = append(p.endpoints, endpoint)
		p.work[endpoint.Name] = 10 * time.Millisecond
	}
	p.dispatcher.SetEndpoints(append([]*mtendpoint.Endpoint{}, p.endpoints...))
	return p
}

// run lets time pass while calls come at a rate per second.
func (p *pool) run(span time.Duration, rate float64) {
	for end := p.now.Add(span); p.now.Before(end); p.now = p.now.Add(step) {
		p.finish()
		if p.random.Float64() < rate*step.Seconds() {
			p.next++
			_, _ = p.dispatcher.Offer(p.next, "team", "", p.now.Add(time.Second), p.now)
		}
		p.dispatcher.Expire(p.now)
		p.bind()
	}
}

func (p *pool) finish() {
	var left []run
	for _, one := range p.running {
		if one.ends.After(p.now) {
			left = append(left, one)
			continue
		}
		failed := p.fails[one.endpoint.Name]
		if failed {
			p.failed++
		}
		one.endpoint.End(p.now.Sub(one.begun), failed, p.now)
		p.dispatcher.End(one.team)
	}
	p.running = left
}

func (p *pool) bind() {
	for _, grant := range p.dispatcher.Bind(p.now, p.random) {
		name := grant.Endpoint.Name
		p.started[name]++
		p.deepest[name] = max(p.deepest[name], grant.Endpoint.Inflight())
		work := p.work[name]
		if p.fails[name] {
			work = step
		}
		p.running = append(p.running, run{
			endpoint: grant.Endpoint,
			team:     grant.Team,
			begun:    p.now,
			ends:     p.now.Add(work),
		})
	}
}

func (p *pool) total() int {
	sum := 0
	for _, count := range p.started {
		sum += count
	}
	return sum
}

func TestSlotsAreNeverOverrun(t *testing.T) {
	p := newPool(5)
	p.run(10*time.Second, 900)
	for name, deepest := range p.deepest {
		require.LessOrEqual(t, deepest, 2, name)
	}
	require.Greater(t, p.total(), 8000)
}

// A server that fails at once always has a free slot; counting answers alone would send it most of the calls.
func TestFastFailingServerDoesNotLookIdle(t *testing.T) {
	p := newPool(5)
	p.fails["endpoint-0"] = true
	p.run(10*time.Second, 600)
	require.Less(t, p.failed, 25, "of %d calls", p.total())
	p.fails["endpoint-0"] = false
	p.run(40*time.Second, 600)
	before := p.started["endpoint-0"]
	p.run(5*time.Second, 600)
	require.Greater(t, p.started["endpoint-0"]-before, 100, "it must come back after it is well again")
}

func TestStragglerGetsFewCalls(t *testing.T) {
	p := newPool(5)
	p.run(2*time.Second, 500)
	p.work["endpoint-0"] = 300 * time.Millisecond
	p.run(time.Second, 500)
	before, all := p.started["endpoint-0"], p.total()
	p.run(10*time.Second, 500)
	require.Less(t, float64(p.started["endpoint-0"]-before), 0.005*float64(p.total()-all))
	p.work["endpoint-0"] = 10 * time.Millisecond
	p.run(5*time.Second, 500)
	before, all = p.started["endpoint-0"], p.total()
	p.run(5*time.Second, 500)
	require.Greater(t, float64(p.started["endpoint-0"]-before), 0.1*float64(p.total()-all), "it must come back after it is well again")
}

func TestWholePoolThatLooksBadIsNotEjected(t *testing.T) {
	p := newPool(4)
	for _, endpoint := range p.endpoints {
		p.fails[endpoint.Name] = true
	}
	p.run(3*time.Second, 200)
	before := p.total()
	p.run(2*time.Second, 200)
	require.Greater(t, p.total()-before, 300, "calls still reach the pool")
}

func TestColdEndpointStartsWithOneCallAtATime(t *testing.T) {
	p := newPool(3)
	p.endpoints[0].Joined = p.now
	p.run(time.Second, 550)
	require.Equal(t, 1, p.deepest["endpoint-0"])
	p.run(3*time.Second, 550)
	require.Equal(t, 2, p.deepest["endpoint-0"])
}

// An instance that does not lead trusts a report for one call and not for the whole slot count.
func TestReportOfAnIdleEndpointDoesNotDrawAHerd(t *testing.T) {
	p := newPool(1)
	p.endpoints[0].Lead = false
	p.endpoints[0].Slots = 6
	p.endpoints[0].Report(mtload.Report{Slots: 6}, p.now)
	for i := range uint64(10) {
		_, err := p.dispatcher.Offer(i, "team", "", p.now.Add(time.Second), p.now)
		require.NoError(t, err)
	}
	require.Len(t, p.dispatcher.Bind(p.now, p.random), 1)
}

func TestReportOfOthersHoldsCallsBackUntilItIsOld(t *testing.T) {
	p := newPool(1)
	p.endpoints[0].Start()
	p.endpoints[0].Report(mtload.Report{Running: 2, Slots: 2}, p.now)
	p.endpoints[0].End(step, false, p.now)
	_, err := p.dispatcher.Offer(1, "team", "", p.now.Add(time.Second), p.now)
	require.NoError(t, err)
	require.Empty(t, p.dispatcher.Bind(p.now, p.random))
	p.now = p.now.Add(time.Second)
	require.Len(t, p.dispatcher.Bind(p.now, p.random), 1)
}

func TestLeavingMarkBeatsEveryReport(t *testing.T) {
	p := newPool(2)
	p.endpoints[0].Leaving = true
	p.run(2*time.Second, 100)
	require.Zero(t, p.started["endpoint-0"])
	p.endpoints[1].Leaving = true
	_, err := p.dispatcher.Offer(9999, "team", "", p.now.Add(time.Second), p.now)
	require.True(t, errorx.IsOfType(err, mtdispatch.Empty))
}

func TestCallThatCannotBeServedInTimeIsShedAtOnce(t *testing.T) {
	p := newPool(1)
	p.run(2*time.Second, 150)
	for i := range uint64(30) {
		_, _ = p.dispatcher.Offer(10_000+i, "team", "", p.now.Add(time.Second), p.now)
	}
	_, err := p.dispatcher.Offer(20_000, "team", "", p.now.Add(20*time.Millisecond), p.now)
	require.True(t, errorx.IsOfType(err, mtdispatch.Late))
}

func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	p := newPool(2)
	for i := range uint64(50) {
		_, err := p.dispatcher.Offer(i, "team", "endpoint-0", p.now.Add(time.Second), p.now)
		require.NoError(t, err)
		for _, grant := range p.dispatcher.Bind(p.now, p.random) {
			require.Equal(t, "endpoint-1", grant.Endpoint.Name)
			grant.Endpoint.Abandon()
			p.dispatcher.End(grant.Team)
		}
	}
}
