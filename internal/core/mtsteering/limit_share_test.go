package mtsteering

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrequestlimit"
)

func TestReceiversShareWholeLimitOfUnpartitionedFleet(t *testing.T) {
	candidates := newCandidates(14)
	for _, receiverCount := range []int{1, 2, 4, 9} {
		total, holders := 0.0, 0
		for _, candidate := range candidates {
			share := LimitSharing{
				Instance:  candidate.Name,
				Receivers: candidates[:receiverCount],
				Fleet:     FleetCounts{Reachable: 14, Known: 14},
			}.ShareOf("e-1")
			total += share
			if share > 0 {
				holders++
			}
		}
		require.InDelta(t, 1, total, 1e-9)
		require.Equal(t, min(receiverCount, maxLimitShares), holders)
	}
}

func TestLimitSharesNeverExceedLimitInPartitions(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		random := rand.New(rand.NewPCG(seed, 2))
		candidates := newCandidates(2 + random.IntN(140))
		side := randomPartition(candidates, random)
		total := 0.0
		for _, observer := range candidates {
			seen := slices.Clone(candidates)
			reachable := 0
			for i, candidate := range seen {
				if side[candidate.Name] == side[observer.Name] {
					reachable++
				} else {
					seen[i].SinceHeartbeat = heartbeatTimeout + time.Second
				}
			}
			total += LimitSharing{
				Instance:  observer.Name,
				Receivers: (&ReceiverSelector{}).Select(seen, observer.Name, time.Now()),
				Fleet:     FleetCounts{Reachable: reachable, Known: len(candidates)},
			}.ShareOf("e-1")
		}
		require.LessOrEqual(t, total, 1.0+1e-9, "seed %d", seed)
	}
}

// The promise to an endpoint that names a limit.
const (
	limitGrace     = 3 * time.Second
	limitToldDelay = 500 * time.Millisecond
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
)

const (
	limitSimulationStep = 20 * time.Millisecond
	// limitResponseTime is the time from the assignment of a request to its response.
	limitResponseTime = 120 * time.Millisecond
	// roleMessageInterval and messageInterval are the times between two messages of an instance with and without a role.
	roleMessageInterval = 400 * time.Millisecond
	messageInterval     = time.Second
	messageLossRatio    = 0.05
	// strayRatio is the ratio of the requests that arrive at instances that are no receivers.
	strayRatio = 0.1
)

// limitedInstance is an instance of a simulated fleet with one endpoint that names a limit.
type limitedInstance struct {
	candidate Candidate
	selector  ReceiverSelector
	limit     mtrequestlimit.Limit
	receivers []Candidate
	// heardAt is when this instance last heard from each other one.
	heardAt     map[string]time.Time
	isDown      bool
	isCut       bool
	nextMessage time.Time
	nextRoles   time.Time
	// toldAt is when the instance first passed on a response that named the limit; zero after a restart.
	toldAt time.Time
}

type limitedRequest struct {
	instance *limitedInstance
	at       time.Time
}

type limitedResponse struct {
	instance  *limitedInstance
	statement mtrequestlimit.Statement
}

// limitedFleet simulates a fleet of instances that share one endpoint.
type limitedFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*limitedInstance
	// perSecond is the limit that the endpoint names; it names none while this is negative.
	perSecond float64
	demand    float64
	requests  []limitedRequest
	responses []limitedResponse
}

func newLimitedFleet(count int, demand float64, seed uint64) *limitedFleet {
	fleet := &limitedFleet{
		random:    rand.New(rand.NewPCG(seed, 3)),
		now:       time.Unix(1000, 0),
		perSecond: -1,
		demand:    demand,
	}
	for _, candidate := range newCandidates(count) {
		fleet.instances = append(fleet.instances, &limitedInstance{
			candidate: candidate,
			heardAt:   map[string]time.Time{},
		})
	}
	return fleet
}

// run advances the fleet by a time.
func (f *limitedFleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(limitSimulationStep) {
		for _, instance := range f.instances {
			if instance.isDown {
				continue
			}
			if !f.now.Before(instance.nextRoles) {
				f.selectRoles(instance)
			}
			if !f.now.Before(instance.nextMessage) {
				f.sendMessage(instance)
			}
		}
		f.deliverResponses()
		for range f.arrivals() {
			f.request(f.pickInstance())
		}
	}
}

func (f *limitedFleet) arrivals() int {
	mean := f.demand * limitSimulationStep.Seconds()
	count := int(mean)
	if f.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

// pickInstance returns the instance that a caller sends a request to: mostly one that some instance names.
func (f *limitedFleet) pickInstance() *limitedInstance {
	directory := f.instances[f.random.IntN(len(f.instances))]
	if directory.isDown || f.random.Float64() < strayRatio {
		return f.instances[f.random.IntN(len(f.instances))]
	}
	name := directory.receivers[f.random.IntN(len(directory.receivers))].Name
	index := slices.IndexFunc(f.instances, func(instance *limitedInstance) bool {
		return instance.candidate.Name == name
	})
	return f.instances[index]
}

func (f *limitedFleet) request(instance *limitedInstance) {
	if instance.isDown || !instance.limit.Allows(f.now) {
		return
	}
	instance.limit.RecordRequest(f.now)
	f.requests = append(f.requests, limitedRequest{
		instance: instance,
		at:       f.now,
	})
	f.responses = append(f.responses, limitedResponse{
		instance: instance,
		statement: mtrequestlimit.Statement{
			PerSecond: max(0, f.perSecond),
			IsLimited: f.perSecond >= 0,
			At:        f.now.Add(limitResponseTime),
		},
	})
}

func (f *limitedFleet) deliverResponses() {
	for len(f.responses) > 0 && !f.responses[0].statement.At.After(f.now) {
		response := f.responses[0]
		f.responses = f.responses[1:]
		if response.instance.isDown {
			continue
		}
		if response.statement.IsLimited && response.instance.toldAt.IsZero() {
			response.instance.toldAt = f.now
		}
		if response.statement.IsLimited || response.instance.limit.IsLimited(f.now) {
			f.apply(response.instance, response.statement)
		}
	}
}

func (f *limitedFleet) apply(instance *limitedInstance, statement mtrequestlimit.Statement) {
	instance.limit.SetShare(f.sharing(instance).ShareOf("e-1"), f.now)
	instance.limit.Apply(statement, f.now)
}

func (f *limitedFleet) sharing(instance *limitedInstance) LimitSharing {
	reachable := 1
	for name, heardAt := range instance.heardAt {
		if name != instance.candidate.Name && f.now.Sub(heardAt) <= heartbeatTimeout {
			reachable++
		}
	}
	return LimitSharing{
		Instance:  instance.candidate.Name,
		Receivers: instance.receivers,
		Fleet: FleetCounts{
			Reachable: reachable,
			Known:     len(instance.heardAt) + 1,
		},
	}
}

func (f *limitedFleet) selectRoles(instance *limitedInstance) {
	var seen []Candidate
	for _, other := range f.instances {
		candidate := other.candidate
		heardAt, isKnown := instance.heardAt[candidate.Name]
		if other != instance && !isKnown {
			continue
		}
		if other != instance {
			candidate.SinceHeartbeat = f.now.Sub(heardAt)
		}
		seen = append(seen, candidate)
	}
	instance.receivers = instance.selector.Select(seen, instance.candidate.Name, f.now)
	if instance.limit.IsLimited(f.now) {
		instance.limit.SetShare(f.sharing(instance).ShareOf("e-1"), f.now)
	}
	instance.nextRoles = f.now.Add(250 * time.Millisecond)
}

func (f *limitedFleet) sendMessage(sender *limitedInstance) {
	hasRole := slices.Contains(names(sender.receivers), sender.candidate.Name)
	sender.nextMessage = f.now.Add(messageInterval)
	if hasRole {
		sender.nextMessage = f.now.Add(roleMessageInterval)
	}
	for _, receiver := range f.instances {
		if receiver == sender || receiver.isDown || receiver.isCut != sender.isCut || f.random.Float64() < messageLossRatio {
			continue
		}
		receiver.heardAt[sender.candidate.Name] = f.now
		if !sender.limit.ChangedAt().IsZero() {
			f.apply(receiver, sender.limit.Statement())
		}
	}
}

// restart ends an instance and starts it again after a time.
func (f *limitedFleet) restart(instance *limitedInstance, downtime time.Duration) {
	instance.isDown = true
	f.run(downtime)
	*instance = limitedInstance{
		candidate: instance.candidate,
		selector: ReceiverSelector{
			Started: f.now,
		},
		heardAt:   map[string]time.Time{},
		receivers: []Candidate{instance.candidate},
	}
	instance.candidate.Epoch = uint64(f.now.UnixMilli())
}

// receiver returns an instance that is a receiver.
func (f *limitedFleet) receiver() *limitedInstance {
	for _, instance := range f.instances {
		if !instance.isDown && slices.Contains(names(instance.receivers), instance.candidate.Name) {
			return instance
		}
	}
	return f.instances[0]
}

// requireKept requires that the promise holds in the time from limitGrace after the limit was named until now, with
// the requests of instances that passed on a response that named it limitToldDelay before or earlier.
func (f *limitedFleet) requireKept(t *testing.T, perSecond float64, namedAt time.Time) {
	t.Helper()
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitExtra
	for i, last := range f.requests {
		if last.at.Before(namedAt.Add(limitGrace)) {
			continue
		}
		count := 0
		for _, request := range slices.Backward(f.requests[:i+1]) {
			if last.at.Sub(request.at) >= limitWindow {
				break
			}
			toldAt := request.instance.toldAt
			if !toldAt.IsZero() && last.at.Sub(toldAt) >= limitToldDelay {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), allowed, "in the window that ends %s after the limit was named", last.at.Sub(namedAt))
	}
}

// requestsSince returns the number of requests since a time.
func (f *limitedFleet) requestsSince(since time.Time) int {
	return len(f.requests) - slices.IndexFunc(f.requests, func(request limitedRequest) bool {
		return !request.at.Before(since)
	})
}

func TestFleetKeepsLimitOfEndpoint(t *testing.T) {
	for name, disturb := range map[string]func(fleet *limitedFleet){
		"nothing happens": func(*limitedFleet) {},
		"a receiver leaves and starts again": func(fleet *limitedFleet) {
			receiver := fleet.receiver()
			receiver.candidate.Leaving = true
			fleet.run(2 * time.Second)
			receiver.candidate.Leaving = false
			fleet.restart(receiver, time.Second)
		},
		"a receiver fails and starts again": func(fleet *limitedFleet) {
			fleet.restart(fleet.receiver(), 2*time.Second)
		},
		"instances restart in turn": func(fleet *limitedFleet) {
			for _, instance := range fleet.instances[:min(4, len(fleet.instances))] {
				fleet.restart(instance, time.Second)
				fleet.run(time.Second)
			}
		},
		"a third is cut from the others": func(fleet *limitedFleet) {
			for _, instance := range fleet.instances[:(len(fleet.instances)+2)/3] {
				instance.isCut = true
			}
			fleet.run(5 * time.Second)
			for _, instance := range fleet.instances {
				instance.isCut = false
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				for _, c := range []struct {
					instances int
					perSecond float64
					demand    float64
				}{
					{instances: 3, perSecond: 1.3, demand: 5},
					{instances: 14, perSecond: 1.3, demand: 5},
					{instances: 14, perSecond: 0, demand: 4},
					{instances: 19, perSecond: 8, demand: 20},
					{instances: 40, perSecond: 30, demand: 60},
				} {
					fleet := newLimitedFleet(c.instances, c.demand, seed)
					fleet.run(5 * time.Second)
					fleet.perSecond = c.perSecond
					namedAt := fleet.now
					fleet.run(4 * time.Second)
					disturb(fleet)
					fleet.run(8 * time.Second)
					fleet.requireKept(t, c.perSecond, namedAt)
					latest := 5 * time.Second
					require.GreaterOrEqual(t, float64(fleet.requestsSince(fleet.now.Add(-latest))),
						0.4*c.perSecond*latest.Seconds()-1, "the limit is also used")
				}
			}
		})
	}
}

func TestFleetFollowsChangedAndLiftedLimit(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		fleet := newLimitedFleet(14, 12, seed)
		fleet.perSecond = 6
		fleet.run(8 * time.Second)
		fleet.perSecond = 1.5
		lowered := fleet.now
		fleet.run(8 * time.Second)
		fleet.requireKept(t, 1.5, lowered)
		fleet.perSecond = -1
		lifted := fleet.now
		fleet.run(8 * time.Second)
		require.Greater(t, fleet.requestsSince(lifted.Add(4*time.Second)), 30, "12 requests a second arrive")
	}
}
