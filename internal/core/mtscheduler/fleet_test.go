package mtscheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetSimulation is several instances that share a pool. Each has a scheduler of its own that knows the load of the
// other instances only from the reports of endpoints. An endpoint runs as many requests as it has slots, queues a few
// and sheds the others.
type fleetSimulation struct {
	*simulation
	schedulers []*Scheduler
	pending    map[uint64]*fleetCaller
	hosts      map[string]*fleetHost
	nextRuns   []time.Time
	shed       int
	// totalQueueTime and totalEndpointQueueTime are the times that requests waited at their instances and at endpoints.
	totalQueueTime, totalEndpointQueueTime time.Duration
	started                                int
	// fullSlowdown is how many times longer a request takes that starts when all other slots of its endpoint are in
	// use, or 0.
	fullSlowdown float64
}

type fleetCaller struct {
	simulatedCaller
	instance int
}

type fleetHost struct {
	simulatedHost
	slots int
	queue []func()
}

const (
	maxEndpointQueue = 4
	maxRetries       = 2
)

func newFleetSimulation(instances, endpointCount, slots int, seed uint64) *fleetSimulation {
	f := &fleetSimulation{
		simulation: newSimulation(0, slots, seed, false),
		pending:    map[uint64]*fleetCaller{},
		hosts:      map[string]*fleetHost{},
		nextRuns:   make([]time.Time, instances),
	}
	for i := range instances {
		scheduler := NewScheduler("a", rand.New(rand.NewPCG(seed, uint64(10+i))))
		var endpoints []*Endpoint
		for n := range endpointCount {
			endpoints = append(endpoints, newEndpoint(fmt.Sprintf("e%03d", n), slots))
		}
		scheduler.SetEndpoints(endpoints)
		f.schedulers = append(f.schedulers, scheduler)
	}
	for _, endpoint := range f.schedulers[0].Endpoints() {
		f.hosts[endpoint.ID] = &fleetHost{slots: slots}
	}
	return f
}

func (f *fleetSimulation) addArrivals(from, span time.Duration, rate float64) {
	for offset := from; ; {
		offset += time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
		if offset >= from+span {
			return
		}
		f.schedule(offset, func() {
			f.submit(&fleetCaller{simulatedCaller: simulatedCaller{arrivedAt: f.now}})
		})
	}
}

func (f *fleetSimulation) submit(c *fleetCaller) {
	c.instance = f.random.IntN(len(f.schedulers))
	f.lastID++
	id := f.lastID
	c.request = &Request{
		ID:        id,
		Route:     simRoute,
		ArrivedAt: f.now,
		Objective: c.arrivedAt.Add(f.objective),
		Deadline:  c.arrivedAt.Add(f.deadline),
	}
	f.pending[id] = c
	if rejection := f.schedulers[c.instance].Enqueue(c.request, f.now); rejection != nil {
		delete(f.pending, id)
		f.retryOrRecord(c, rejection.RetryAfter)
		return
	}
	f.schedulePending(c.instance)
}

func (f *fleetSimulation) retryOrRecord(c *fleetCaller, retryAfter time.Duration) {
	if c.retries < maxRetries && f.now.Add(retryAfter).Before(c.arrivedAt.Add(f.deadline)) {
		c.retries++
		f.schedule(retryAfter, func() { f.submit(c) })
		return
	}
	f.outcomes = append(f.outcomes, requestOutcome{arrivedAt: c.arrivedAt, rejected: true})
}

func (f *fleetSimulation) schedulePending(instance int) {
	scheduler := f.schedulers[instance]
	decisions := scheduler.Schedule(f.now)
	for _, assignment := range decisions.Assignments {
		f.send(instance, assignment)
	}
	for _, drop := range decisions.Dropped {
		dropped := f.pending[drop.ID]
		delete(f.pending, drop.ID)
		f.retryOrRecord(dropped, drop.Rejection.RetryAfter)
	}
	for _, endpoint := range decisions.Probes {
		f.probes++
		f.schedule(simProbeRoundTrip, func() {
			scheduler.RecordReport(endpoint, f.report(f.hosts[endpoint.ID], endpoint.Inflight()), f.now)
			f.schedulePending(instance)
		})
	}
	if nextRun := decisions.NextRun; !nextRun.IsZero() &&
		(!f.nextRuns[instance].After(f.now) || nextRun.Before(f.nextRuns[instance])) {
		f.nextRuns[instance] = nextRun
		f.schedule(nextRun.Sub(f.now), func() { f.schedulePending(instance) })
	}
}

func (f *fleetSimulation) report(h *fleetHost, own int) LoadReport {
	return LoadReport{
		Running:      h.running,
		Waiting:      len(h.queue),
		Slots:        h.slots,
		HostSlowdown: f.slowdownOf(&h.simulatedHost),
		OwnRequests:  own,
	}
}

// send delivers a request to its endpoint half a round trip after it was assigned.
func (f *fleetSimulation) send(instance int, assignment Assignment) {
	c := f.pending[assignment.ID]
	delete(f.pending, assignment.ID)
	h := f.hosts[assignment.Endpoint.ID]
	sentAt := f.now
	f.totalQueueTime += f.now.Sub(c.request.ArrivedAt)
	end := func(verdict Verdict) {
		f.schedulers[instance].Complete(assignment, simRoute, AttemptResult{
			Verdict:      verdict,
			ResponseTime: f.now.Sub(sentAt),
		}, f.now)
		f.schedulers[instance].RecordReport(assignment.Endpoint, f.report(h, assignment.Endpoint.Inflight()), f.now)
		f.schedulePending(instance)
	}
	f.schedule(simProbeRoundTrip/2, func() {
		f.sent++
		switch {
		case h.running < h.slots:
			f.start(h, c, end)
		case len(h.queue) < maxEndpointQueue:
			queuedAt := f.now
			h.queue = append(h.queue, func() {
				f.totalEndpointQueueTime += f.now.Sub(queuedAt)
				f.start(h, c, end)
			})
		default:
			f.shed++
			end(Shed)
			f.retryOrRecord(c, 250*time.Millisecond)
		}
	})
}

func (f *fleetSimulation) start(h *fleetHost, c *fleetCaller, end func(Verdict)) {
	h.running++
	f.started++
	duration := time.Duration(
		float64(f.processingTime) * f.slowdownOf(&h.simulatedHost) * (0.7 + 0.6*f.random.Float64()))
	if f.fullSlowdown > 0 && h.running == h.slots {
		duration = time.Duration(f.fullSlowdown * float64(duration))
	}
	verdict := Served
	if timeLeft := c.arrivedAt.Add(f.deadline).Sub(f.now); duration > timeLeft {
		duration, verdict = max(0, timeLeft), Failed
	}
	f.schedule(duration, func() {
		h.running--
		if len(h.queue) > 0 {
			next := h.queue[0]
			h.queue = h.queue[1:]
			next()
		}
		latency := f.now.Sub(c.arrivedAt)
		f.outcomes = append(f.outcomes, requestOutcome{
			arrivedAt:    c.arrivedAt,
			served:       verdict == Served,
			metObjective: verdict == Served && latency <= f.objective,
		})
		end(verdict)
	})
}

// Four instances share a pool, and for two seconds 2.4 times as many requests arrive as it can serve on average hosts.
// Each instance learns the load of an endpoint rarely, and must not take slots that other instances use for free. The
// bound is a single instance that receives all requests and knows the whole load; the loss compared with it must stay
// below a tenth.
func TestBurstOnSharedPool(t *testing.T) {
	for seed := uint64(1); seed <= 2; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			one, many := simulateBurst(1, seed), simulateBurst(4, seed)
			inBurst := func(f *fleetSimulation) float64 { return f.ratio(time.Second, 3*time.Second, metObjective) }
			t.Logf("met objective %.3f, single instance %.3f; queue time %v, at endpoints %v; probes %d, shed %d of %d",
				inBurst(many), inBurst(one), many.totalQueueTime/time.Duration(many.started),
				many.totalEndpointQueueTime/time.Duration(many.started), many.probes, many.shed, many.sent)
			require.Greater(t, inBurst(many), inBurst(one)-0.1)
			require.Less(t, many.totalEndpointQueueTime, many.totalQueueTime,
				"requests must wait here, not at endpoints")
		})
	}
}

// simulateBurst runs the load on a number of instances.
func simulateBurst(instances int, seed uint64) *fleetSimulation {
	const (
		endpointCount  = 30
		slots          = 2
		processingTime = 250 * time.Millisecond
		meanSlowdown   = 1 + simSlowHostRatio*(simHostSlowdown-1)
	)
	capacity := endpointCount * slots / processingTime.Seconds() / meanSlowdown
	f := newFleetSimulation(instances, endpointCount, slots, seed)
	f.processingTime = processingTime
	f.objective = 600 * time.Millisecond
	f.deadline = 8 * time.Second
	f.addArrivals(0, time.Second, capacity/2)
	f.addArrivals(time.Second, 2*time.Second, 2.4*capacity)
	f.addArrivals(3*time.Second, time.Second, capacity/2)
	f.run()
	return f
}

// meanObjectiveRatios runs a load on a single instance, which knows the whole load, and on several. It returns, for
// both, the mean ratio of callers that arrived in a time span and were answered within the objective.
func meanObjectiveRatios(t *testing.T, seedCount uint64, instances int, from, to time.Duration, simulate func(instances int, seed uint64) *fleetSimulation) (one, many float64) {
	t.Helper()
	for seed := uint64(1); seed <= seedCount; seed++ {
		single, multiple := simulate(1, seed), simulate(instances, seed)
		singleRatio, multipleRatio := single.ratio(from, to, metObjective), multiple.ratio(from, to, metObjective)
		t.Logf("seed %d: met objective %.3f, single instance %.3f; mean queue time %v, at endpoints %v",
			seed, multipleRatio, singleRatio, multiple.totalQueueTime/time.Duration(multiple.started),
			multiple.totalEndpointQueueTime/time.Duration(multiple.started))
		one += singleRatio / float64(seedCount)
		many += multipleRatio / float64(seedCount)
	}
	t.Logf("mean met objective %.3f, single instance %.3f", many, one)
	return one, many
}

// Three instances start without any reports, and the callers of the time before retry there at once: for a third of a
// second three times the load that the pool can serve, then the usual load. The loss compared with a single instance
// that knows the whole load must stay below one request in fifty.
func TestSimultaneousRetriesAfterStart(t *testing.T) {
	one, many := meanObjectiveRatios(t, 8, 3, 0, 1500*time.Millisecond, simulateStart)
	require.Greater(t, many, one-0.02)
}

// simulateStart runs the simultaneous retries of all callers on a number of instances that have just started.
func simulateStart(instances int, seed uint64) *fleetSimulation {
	const (
		endpointCount  = 16
		slots          = 2
		processingTime = 175 * time.Millisecond
		meanSlowdown   = 1 + simSlowHostRatio*(simHostSlowdown-1)
	)
	capacity := endpointCount * slots / processingTime.Seconds() / meanSlowdown
	f := newFleetSimulation(instances, endpointCount, slots, seed)
	f.processingTime = processingTime
	f.objective = 400 * time.Millisecond
	f.deadline = 2 * time.Second
	f.addArrivals(0, 300*time.Millisecond, 3*capacity)
	f.addArrivals(300*time.Millisecond, 2*time.Second, 0.6*capacity)
	f.run()
	return f
}

// Eight instances share a pool whose callers wait for 13 times their objective. For two seconds four times as many
// requests arrive as the pool can serve on average hosts with all slots in use, and afterwards 1.2 times as many, which
// its faster hosts can serve. Requests that are admitted to slots that other instances use wait in vain, and their
// callers retry. In the two seconds after the burst, the loss compared with a single instance that knows the whole load
// must stay below a tenth.
func TestManyInstancesRecoverFromBurst(t *testing.T) {
	one, many := meanObjectiveRatios(t, 2, 8, 3*time.Second, 5*time.Second, simulateLongBurst)
	require.Greater(t, many, one-0.1)
}

// simulateLongBurst runs a burst and the time after it on a number of instances.
func simulateLongBurst(instances int, seed uint64) *fleetSimulation {
	const (
		endpointCount  = 40
		slots          = 2
		processingTime = 250 * time.Millisecond
		meanSlowdown   = 1 + simSlowHostRatio*(simHostSlowdown-1)
	)
	capacity := endpointCount * slots / processingTime.Seconds() / meanSlowdown / simFullSlowdown
	f := newFleetSimulation(instances, endpointCount, slots, seed)
	f.fullSlowdown = simFullSlowdown
	f.processingTime = processingTime
	f.objective = 600 * time.Millisecond
	f.deadline = 8 * time.Second
	f.addArrivals(0, time.Second, capacity/2)
	f.addArrivals(time.Second, 2*time.Second, 4*capacity)
	f.addArrivals(3*time.Second, 2500*time.Millisecond, 1.2*capacity)
	f.run()
	return f
}
