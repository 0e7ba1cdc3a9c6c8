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

const stepDuration = time.Millisecond

// simulatedPool simulates the endpoints of a dispatcher in steps of stepDuration.
type simulatedPool struct {
	dispatcher *mtdispatch.Dispatcher
	random     *rand.Rand
	endpoints  []*mtendpoint.Endpoint
	running    []runningCall
	now        time.Time
	lastID     uint64
	// The maps are by endpoint name.
	serviceTimes map[string]time.Duration
	failing      map[string]bool
	startedCalls map[string]int
	failedCalls  int
	maxInflight  map[string]int
}

type runningCall struct {
	endpoint  *mtendpoint.Endpoint
	team      string
	startedAt time.Time
	endsAt    time.Time
}

func newSimulatedPool(size int) *simulatedPool {
	p := &simulatedPool{
		dispatcher:   mtdispatch.NewDispatcher("a"),
		random:       rand.New(rand.NewPCG(1, 1)),
		now:          start,
		serviceTimes: map[string]time.Duration{},
		failing:      map[string]bool{},
		startedCalls: map[string]int{},
		maxInflight:  map[string]int{},
	}
	for i := range size {
		endpoint := &mtendpoint.Endpoint{
			Name:   fmt.Sprint("endpoint-", i),
			Centre: "a",
			Slots:  2,
			IsLead: true,
		}
		p.endpoints = append(p.endpoints, endpoint)
		p.serviceTimes[endpoint.Name] = 10 * time.Millisecond
	}
	p.dispatcher.SetEndpoints(append([]*mtendpoint.Endpoint{}, p.endpoints...))
	return p
}

// run simulates the duration with calls that arrive at a rate per second.
func (p *simulatedPool) run(duration time.Duration, rate float64) {
	for end := p.now.Add(duration); p.now.Before(end); p.now = p.now.Add(stepDuration) {
		p.endCalls()
		if p.random.Float64() < rate*stepDuration.Seconds() {
			p.lastID++
			_, _ = p.dispatcher.Enqueue(p.lastID, "team", "", p.now.Add(time.Second), p.now)
		}
		p.dispatcher.Expire(p.now)
		p.startCalls()
	}
}

// endCalls ends the running calls whose service time is over.
func (p *simulatedPool) endCalls() {
	var remaining []runningCall
	for _, call := range p.running {
		if call.endsAt.After(p.now) {
			remaining = append(remaining, call)
			continue
		}
		failed := p.failing[call.endpoint.Name]
		if failed {
			p.failedCalls++
		}
		call.endpoint.EndCall(p.now.Sub(call.startedAt), failed, p.now)
		p.dispatcher.Complete(call.team)
	}
	p.running = remaining
}

// startCalls starts the calls that the dispatcher assigns.
func (p *simulatedPool) startCalls() {
	for _, assignment := range p.dispatcher.Dispatch(p.now, p.random) {
		name := assignment.Endpoint.Name
		p.startedCalls[name]++
		p.maxInflight[name] = max(p.maxInflight[name], assignment.Endpoint.Inflight())
		serviceTime := p.serviceTimes[name]
		if p.failing[name] {
			serviceTime = stepDuration
		}
		p.running = append(p.running, runningCall{
			endpoint:  assignment.Endpoint,
			team:      assignment.Team,
			startedAt: p.now,
			endsAt:    p.now.Add(serviceTime),
		})
	}
}

func (p *simulatedPool) totalStarted() int {
	sum := 0
	for _, count := range p.startedCalls {
		sum += count
	}
	return sum
}

func TestInflightCallsNeverExceedSlots(t *testing.T) {
	p := newSimulatedPool(5)
	p.run(10*time.Second, 900)
	for name, maxInflight := range p.maxInflight {
		require.LessOrEqual(t, maxInflight, 2, name)
	}
	require.Greater(t, p.totalStarted(), 8000)
}

// An endpoint that fails at once always has a free slot. If failures were counted like answers, it would receive most
// of the calls.
func TestFastFailingEndpointIsEjected(t *testing.T) {
	p := newSimulatedPool(5)
	p.failing["endpoint-0"] = true
	p.run(10*time.Second, 600)
	require.Less(t, p.failedCalls, 25, "of %d calls", p.totalStarted())
	p.failing["endpoint-0"] = false
	p.run(40*time.Second, 600)
	startedBefore := p.startedCalls["endpoint-0"]
	p.run(5*time.Second, 600)
	require.Greater(t, p.startedCalls["endpoint-0"]-startedBefore, 100,
		"the endpoint must receive calls after it has recovered")
}

func TestStragglerReceivesFewCalls(t *testing.T) {
	p := newSimulatedPool(5)
	p.run(2*time.Second, 500)
	p.serviceTimes["endpoint-0"] = 300 * time.Millisecond
	p.run(time.Second, 500)
	startedBefore, totalBefore := p.startedCalls["endpoint-0"], p.totalStarted()
	p.run(10*time.Second, 500)
	require.Less(t, float64(p.startedCalls["endpoint-0"]-startedBefore), 0.005*float64(p.totalStarted()-totalBefore))
	p.serviceTimes["endpoint-0"] = 10 * time.Millisecond
	p.run(5*time.Second, 500)
	startedBefore, totalBefore = p.startedCalls["endpoint-0"], p.totalStarted()
	p.run(5*time.Second, 500)
	require.Greater(t, float64(p.startedCalls["endpoint-0"]-startedBefore), 0.1*float64(p.totalStarted()-totalBefore),
		"the endpoint must receive calls after it has recovered")
}

func TestPoolThatFailsEntirelyStillReceivesCalls(t *testing.T) {
	p := newSimulatedPool(4)
	for _, endpoint := range p.endpoints {
		p.failing[endpoint.Name] = true
	}
	p.run(3*time.Second, 200)
	totalBefore := p.totalStarted()
	p.run(2*time.Second, 200)
	require.Greater(t, p.totalStarted()-totalBefore, 300, "the pool must receive calls while all endpoints are ejected")
}

func TestNewEndpointReceivesOneCallAtATimeDuringWarmUp(t *testing.T) {
	p := newSimulatedPool(3)
	p.endpoints[0].FirstListedAt = p.now
	p.run(time.Second, 550)
	require.Equal(t, 1, p.maxInflight["endpoint-0"])
	p.run(3*time.Second, 550)
	require.Equal(t, 2, p.maxInflight["endpoint-0"])
}

// Load reports reach many instances at once. If each instance filled all slots that a report shows free, together they
// would overload the endpoint, so an instance that does not lead the endpoint sends one call at a time.
func TestInstanceThatDoesNotLeadSendsOneCallToIdleEndpoint(t *testing.T) {
	p := newSimulatedPool(1)
	p.endpoints[0].IsLead = false
	p.endpoints[0].Slots = 6
	p.endpoints[0].ApplyReport(mtload.Report{Slots: 6}, p.now)
	for i := range uint64(10) {
		_, err := p.dispatcher.Enqueue(i, "team", "", p.now.Add(time.Second), p.now)
		require.NoError(t, err)
	}
	require.Len(t, p.dispatcher.Dispatch(p.now, p.random), 1)
}

func TestReportedLoadOfOthersDelaysCallsUntilItExpires(t *testing.T) {
	p := newSimulatedPool(1)
	p.endpoints[0].StartCall()
	p.endpoints[0].ApplyReport(mtload.Report{Running: 2, Slots: 2}, p.now)
	p.endpoints[0].EndCall(stepDuration, false, p.now)
	_, err := p.dispatcher.Enqueue(1, "team", "", p.now.Add(time.Second), p.now)
	require.NoError(t, err)
	require.Empty(t, p.dispatcher.Dispatch(p.now, p.random))
	p.now = p.now.Add(time.Second)
	require.Len(t, p.dispatcher.Dispatch(p.now, p.random), 1)
}

func TestLeavingEndpointReceivesNoCalls(t *testing.T) {
	p := newSimulatedPool(2)
	p.endpoints[0].Leaving = true
	p.run(2*time.Second, 100)
	require.Zero(t, p.startedCalls["endpoint-0"])
	p.endpoints[1].Leaving = true
	_, err := p.dispatcher.Enqueue(9999, "team", "", p.now.Add(time.Second), p.now)
	require.True(t, errorx.IsOfType(err, mtdispatch.NoUsableEndpoint))
}

func TestCallWhoseExpectedWaitExceedsDeadlineIsRefused(t *testing.T) {
	p := newSimulatedPool(1)
	p.run(2*time.Second, 150)
	for i := range uint64(30) {
		_, _ = p.dispatcher.Enqueue(10_000+i, "team", "", p.now.Add(time.Second), p.now)
	}
	_, err := p.dispatcher.Enqueue(20_000, "team", "", p.now.Add(20*time.Millisecond), p.now)
	require.True(t, errorx.IsOfType(err, mtdispatch.WouldMissDeadline))
}

func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	p := newSimulatedPool(2)
	for i := range uint64(50) {
		_, err := p.dispatcher.Enqueue(i, "team", "endpoint-0", p.now.Add(time.Second), p.now)
		require.NoError(t, err)
		for _, assignment := range p.dispatcher.Dispatch(p.now, p.random) {
			require.Equal(t, "endpoint-1", assignment.Endpoint.Name)
			assignment.Endpoint.AbandonCall()
			p.dispatcher.Complete(assignment.Team)
		}
	}
}
