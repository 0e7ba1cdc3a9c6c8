package mtschedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event: a fault or a change of the configuration.
type Kind string

// The faults of instances; Target is the index of the instance, and 0 for KillAll.
const (
	// Kill sends SIGKILL and starts a new process after the duration of the event.
	Kill Kind = "kill"
	// KillAll kills all instances at the same time, each as Kill does.
	KillAll Kind = "kill-all"
	// Pause sends SIGSTOP, and SIGCONT after the duration of the event.
	Pause Kind = "pause"
	// Stop sends SIGTERM, waits for the end of the process and starts a new one after the duration of the event.
	Stop Kind = "stop"
	// Reload changes the slack of the retry budget in the settings file and sends SIGHUP.
	Reload Kind = "reload"
)

// The cuts of an instance from all endpoints; Target is the index of the instance.
const (
	// EndpointsCutReset resets the open connections to endpoints and new ones.
	EndpointsCutReset Kind = "endpoints-cut-reset"
	// EndpointsCutSilent withholds all bytes to and from endpoints.
	EndpointsCutSilent Kind = "endpoints-cut-silent"
	// EndpointsCutNew resets new connections to endpoints.
	EndpointsCutNew Kind = "endpoints-cut-new"
)

// The faults between callers and an instance; Target is the index of the instance.
const (
	// CallerReset resets the open connections.
	CallerReset Kind = "caller-reset"
	// CallerStall withholds all bytes.
	CallerStall Kind = "caller-silent"
	// CallerStallAnswers withholds the bytes from the instance.
	CallerStallAnswers Kind = "caller-one-way"
	// CallerDelay delays all bytes.
	CallerDelay Kind = "caller-slow"
	// CallerBlackhole forwards nothing more on the open connections and leaves them open.
	CallerBlackhole Kind = "caller-forget"
	// CallerCrowd opens connections of untrusted callers whose requests stop short of their end.
	CallerCrowd Kind = "caller-crowd"
)

// The faults of the store; Target is 0, and for StoreThrottleInstance the index of the instance.
const (
	// StoreDown answers all calls with 503.
	StoreDown Kind = "store-down"
	// StoreHang answers no call.
	StoreHang Kind = "store-silent"
	// StoreSlow delays all calls.
	StoreSlow Kind = "store-slow"
	// StoreDropAnswers carries out all calls and closes their connections without an answer.
	StoreDropAnswers Kind = "store-loses"
	// StoreThrottleInstance answers the calls of one instance with 429.
	StoreThrottleInstance Kind = "store-refuses"
	// StoreDropHistory drops the history of the configuration and of the endpoints, but for the newest record of each
	// key.
	StoreDropHistory Kind = "store-forgets"
	// StoreRestore takes a copy of the store, takes the store down after the duration of the event, and returns it with
	// the copy; the operator and the endpoints then write again.
	StoreRestore Kind = "store-restored"
)

// The faults of endpoints, and between instances and an endpoint; Target is the index of the endpoint.
const (
	// EndpointHang runs requests and answers none.
	EndpointHang Kind = "endpoint-hang"
	// EndpointShed refuses requests with 503 and marks them as not run.
	EndpointShed Kind = "endpoint-shed"
	// EndpointDropAnswers runs requests and closes their connections without an answer.
	EndpointDropAnswers Kind = "endpoint-lose"
	// EndpointCorruptAnswers runs requests and truncates their answers or sends header fields without end.
	EndpointCorruptAnswers Kind = "endpoint-spoil"
	// EndpointSlow takes longer to run requests.
	EndpointSlow Kind = "endpoint-slow"
	// EndpointRestart closes the server and starts it after the duration of the event under the same ID.
	EndpointRestart Kind = "endpoint-restart"
	// EndpointDrain registers the endpoint as draining, and as ready after the duration of the event.
	EndpointDrain Kind = "endpoint-drain"
	// EndpointReset resets the open connections.
	EndpointReset Kind = "endpoint-reset"
	// EndpointStall withholds all bytes.
	EndpointStall Kind = "endpoint-silent"
	// EndpointStallAnswers withholds the bytes from the endpoint.
	EndpointStallAnswers Kind = "endpoint-one-way"
	// EndpointLimit names a limit of requests a second.
	EndpointLimit Kind = "endpoint-limit"
	// EndpointBlackhole forwards nothing more on the open connections and leaves them open.
	EndpointBlackhole Kind = "endpoint-forget"
)

// The faults of a zone; Target is the index of the zone.
const (
	// ZoneEvacuate asks for the evacuation of the zone, and ends it after the duration of the event.
	ZoneEvacuate Kind = "zone-evacuate"
	// ZoneReturnCold stops the endpoints of the zone, and starts them after the duration of the event as new processes that are
	// cold.
	ZoneReturnCold Kind = "zone-return-cold"
)

// The faults of tenants; Target is 0.
const (
	// TenantHot sends several times the quota of a tenant to all instances.
	TenantHot Kind = "tenant-hot"
)

// The changes of the configuration; Target is one less than the number of versions, and 0 for RepublishPrevious.
const (
	// Publish publishes new versions.
	Publish Kind = "configure"
	// PublishLarge publishes new versions with many routes.
	PublishLarge Kind = "configure-big"
	// RepublishPrevious publishes the previous version again, and a new one after the duration of the event.
	RepublishPrevious Kind = "configure-old"
	// PublishUnseen publishes a new version, which adds and removes a key, in a store that answers no instance.
	PublishUnseen Kind = "configure-unseen"
)

// Event is one fault or change of the configuration in a run.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Kind Kind
	// Target is the index of what the event acts on; the kinds say of which list.
	Target int
	// Duration is how long the fault lasts, or 0 when it has no duration.
	Duration time.Duration
}

// String returns the event as one line of the schedule's log, without a line feed.
func (e Event) String() string {
	return fmt.Sprintf("%7.3fs %s %d for %v", e.At.Seconds(), e.Kind, e.Target, e.Duration)
}

// drawBounds bounds how the events of a kind are drawn.
type drawBounds struct {
	// minTime and maxTime bound the duration of an event; both are 0 for a kind without a duration.
	minTime, maxTime time.Duration
	// weight is the share of the kind in all events, relative to the weights of the other kinds.
	weight int
	// targets is the group that Target is drawn from.
	targets targetGroup
}

type targetGroup int

const (
	noTarget targetGroup = iota
	instanceTargets
	endpointTargets
	versionTargets
)

const (
	second      = time.Second
	tenthSecond = time.Second / 10
)

var boundsByKind = map[Kind]drawBounds{
	Kill:                   {minTime: 3 * tenthSecond, maxTime: 2 * second, weight: 3, targets: instanceTargets},
	KillAll:                {minTime: 3 * tenthSecond, maxTime: second, weight: 1},
	Pause:                  {minTime: 2 * tenthSecond, maxTime: 3 * second, weight: 4, targets: instanceTargets},
	Stop:                   {minTime: tenthSecond, maxTime: second, weight: 5, targets: instanceTargets},
	Reload:                 {weight: 3, targets: instanceTargets},
	CallerReset:            {weight: 2, targets: instanceTargets},
	CallerStall:            {minTime: 3 * tenthSecond, maxTime: 2 * second, weight: 2, targets: instanceTargets},
	CallerStallAnswers:     {minTime: 3 * tenthSecond, maxTime: 2 * second, weight: 2, targets: instanceTargets},
	CallerDelay:            {minTime: second, maxTime: 3 * second, weight: 1, targets: instanceTargets},
	CallerBlackhole:        {weight: 2, targets: instanceTargets},
	StoreDown:              {minTime: 5 * tenthSecond, maxTime: 4 * second, weight: 2},
	StoreHang:              {minTime: 5 * tenthSecond, maxTime: 4 * second, weight: 2},
	StoreSlow:              {minTime: second, maxTime: 3 * second, weight: 2},
	StoreDropAnswers:       {minTime: 5 * tenthSecond, maxTime: 2 * second, weight: 2},
	StoreThrottleInstance:  {minTime: second, maxTime: 5 * second, weight: 3, targets: instanceTargets},
	StoreDropHistory:       {weight: 2},
	EndpointHang:           {minTime: second, maxTime: 3 * second, weight: 2, targets: endpointTargets},
	EndpointShed:           {minTime: second, maxTime: 3 * second, weight: 2, targets: endpointTargets},
	EndpointDropAnswers:    {minTime: 5 * tenthSecond, maxTime: 3 * second, weight: 3, targets: endpointTargets},
	EndpointCorruptAnswers: {minTime: 5 * tenthSecond, maxTime: 3 * second, weight: 3, targets: endpointTargets},
	EndpointSlow:           {minTime: second, maxTime: 4 * second, weight: 2, targets: endpointTargets},
	EndpointRestart:        {minTime: tenthSecond, maxTime: 2 * second, weight: 3, targets: endpointTargets},
	EndpointDrain:          {minTime: 3 * second, maxTime: 5 * second, weight: 3, targets: endpointTargets},
	EndpointReset:          {weight: 2, targets: endpointTargets},
	EndpointStall:          {minTime: 3 * tenthSecond, maxTime: 3 * second, weight: 2, targets: endpointTargets},
	EndpointStallAnswers:   {minTime: 3 * tenthSecond, maxTime: 3 * second, weight: 2, targets: endpointTargets},
	EndpointBlackhole:      {weight: 2, targets: endpointTargets},
	Publish:                {weight: 8, targets: versionTargets},
	PublishLarge:           {weight: 1, targets: versionTargets},
	RepublishPrevious:      {minTime: 3 * tenthSecond, maxTime: second, weight: 3},
}

// Parameters bound the events of a schedule.
type Parameters struct {
	Duration time.Duration
	// Instances and Endpoints are the numbers of each.
	Instances int
	Endpoints int
	// Zones is the number of zones that get faults, or 0 if none does.
	Zones int
	// MeanInterval is the mean time between two events.
	MeanInterval time.Duration
}

// maxVersionsPerChange bounds the versions that one change of the configuration publishes.
const maxVersionsPerChange = 4

// NewSchedule draws the events of a seed and returns them in the order of their times; the same seed and parameters
// give the same events.
func NewSchedule(seed uint64, parameters Parameters) []Event {
	events := slices.Concat(drawEvents(seed, parameters), drawRestores(seed, parameters), drawLimits(seed, parameters),
		drawEndpointsCuts(seed, parameters), drawUnseenVersions(seed, parameters), drawZones(seed, parameters), drawHotTenants(seed, parameters), drawCrowds(seed, parameters))
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Compare(a.At, b.At)
	})
	return events
}

// drawEvents draws the events of the kinds in boundsByKind.
func drawEvents(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	groupSizes := map[targetGroup]int{
		noTarget:        1,
		instanceTargets: parameters.Instances,
		endpointTargets: parameters.Endpoints,
		versionTargets:  maxVersionsPerChange,
	}
	var weightedKinds []Kind
	for kind, bounds := range boundsByKind {
		weightedKinds = append(weightedKinds, slices.Repeat([]Kind{kind}, bounds.weight)...)
	}
	slices.SortFunc(weightedKinds, func(a, b Kind) int {
		return cmp.Compare(a, b)
	})
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		kind := weightedKinds[random.IntN(len(weightedKinds))]
		bounds := boundsByKind[kind]
		event := Event{
			At:     at,
			Kind:   kind,
			Target: random.IntN(groupSizes[bounds.targets]),
		}
		if bounds.maxTime > 0 {
			event.Duration = bounds.minTime + time.Duration(random.Int64N(int64(bounds.maxTime-bounds.minTime)))
		}
		events = append(events, event)
	}
}

// restoreIntervals is the mean time between two restores of the store, as a multiple of the mean time between two events,
// and minRestoreLoss and maxRestoreLoss bound the time of which the store loses what was written.
const (
	restoreIntervals = 20
	minRestoreLoss   = second / 2
	maxRestoreLoss   = 3 * second
)

// drawRestores draws the restores of the store. They have a random source of their own, so that the other events of a
// seed are those of a schedule without restores.
func drawRestores(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * restoreIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     StoreRestore,
			Duration: minRestoreLoss + time.Duration(random.Int64N(int64(maxRestoreLoss-minRestoreLoss))),
		})
	}
}

// limitIntervals is the mean time between two limits of endpoints, as a multiple of the mean time between two events, and
// minLimitTime and maxLimitTime bound the time for which an endpoint names a limit.
const (
	limitIntervals = 12
	minLimitTime   = 5 * second
	maxLimitTime   = 9 * second
)

// drawLimits draws the limits of endpoints from a random source of their own, as drawRestores does.
func drawLimits(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 2))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * limitIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     EndpointLimit,
			Target:   random.IntN(parameters.Endpoints),
			Duration: minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime))),
		})
	}
}

// endpointsCutIntervals is the mean time between two cuts of instances from all endpoints, as a multiple of the mean time
// between two events, and minEndpointsCutTime and maxEndpointsCutTime bound their duration.
const (
	endpointsCutIntervals = 12
	minEndpointsCutTime   = second / 2
	maxEndpointsCutTime   = 6 * second
)

// drawEndpointsCuts draws the cuts of instances from all endpoints from a random source of their own, as drawRestores does.
func drawEndpointsCuts(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 3))
	kinds := []Kind{EndpointsCutReset, EndpointsCutSilent, EndpointsCutNew}
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * endpointsCutIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     kinds[random.IntN(len(kinds))],
			Target:   random.IntN(parameters.Instances),
			Duration: minEndpointsCutTime + time.Duration(random.Int64N(int64(maxEndpointsCutTime-minEndpointsCutTime))),
		})
	}
}

// unseenIntervals is the mean time between two versions that no instance can read, as a multiple of the mean time between
// two events, and minUnseenTime and maxUnseenTime bound the time until they can. It is longer than the time in which a
// configuration must be in force, after which instances must not answer 401 any more.
const (
	unseenIntervals = 25
	minUnseenTime   = 4 * second
	maxUnseenTime   = 6 * second
)

// drawUnseenVersions draws the versions that no instance can read from a random source of their own, as drawRestores does.
func drawUnseenVersions(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 4))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * unseenIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     PublishUnseen,
			Duration: minUnseenTime + time.Duration(random.Int64N(int64(maxUnseenTime-minUnseenTime))),
		})
	}
}

// zoneIntervals is the mean time between two faults of a zone, as a multiple of the mean time between two events.
const zoneIntervals = 20

// zoneFaultBounds bounds the durations of the faults of a zone. An evacuation lasts longer than it may take until it is in force.
var zoneFaultBounds = map[Kind]drawBounds{
	ZoneEvacuate:   {minTime: 6 * second, maxTime: 9 * second},
	ZoneReturnCold: {minTime: 3 * tenthSecond, maxTime: 2 * second},
}

// drawZones draws the faults of zones from a random source of their own, as drawRestores does.
func drawZones(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 10))
	kinds := []Kind{ZoneEvacuate, ZoneReturnCold}
	var events []Event
	for at := time.Duration(0); parameters.Zones > 0; {
		at += time.Duration(random.ExpFloat64() * zoneIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			break
		}
		kind := kinds[random.IntN(len(kinds))]
		bounds := zoneFaultBounds[kind]
		events = append(events, Event{
			At:       at,
			Kind:     kind,
			Target:   random.IntN(parameters.Zones),
			Duration: bounds.minTime + time.Duration(random.Int64N(int64(bounds.maxTime-bounds.minTime))),
		})
	}
	return events
}

// hotTenantIntervals is the mean time between two times of a hot tenant, as a multiple of the mean time between two events, and
// minHotTime and maxHotTime bound how long it is hot. The longest spans a window of its quota.
const (
	hotTenantIntervals = 15
	minHotTime         = 3 * second
	maxHotTime         = 7 * second
)

// drawHotTenants draws the times of a hot tenant from a random source of their own, as drawRestores does.
func drawHotTenants(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, 11))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * hotTenantIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     TenantHot,
			Duration: minHotTime + time.Duration(random.Int64N(int64(maxHotTime-minHotTime))),
		})
	}
}

// crowdIntervals is the mean time between two crowds of untrusted callers, as a multiple of the mean time between two events,
// and minCrowdTime and maxCrowdTime bound how long a crowd stays. crowdStream is the number of its random source.
const (
	crowdIntervals = 12
	minCrowdTime   = second
	maxCrowdTime   = 3 * second
	crowdStream    = 8
)

// drawCrowds draws the crowds of untrusted callers from a random source of their own, as drawRestores does.
func drawCrowds(seed uint64, parameters Parameters) []Event {
	random := rand.New(rand.NewPCG(seed, crowdStream))
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * crowdIntervals * float64(parameters.MeanInterval))
		if at >= parameters.Duration {
			return events
		}
		events = append(events, Event{
			At:       at,
			Kind:     CallerCrowd,
			Target:   random.IntN(parameters.Instances),
			Duration: minCrowdTime + time.Duration(random.Int64N(int64(maxCrowdTime-minCrowdTime))),
		})
	}
}
