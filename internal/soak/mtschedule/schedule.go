package mtschedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault.
type Kind string

// The faults of instances; Who is the number of the instance.
const (
	Kill    Kind = "kill"
	KillAll Kind = "kill-all"
	Pause   Kind = "pause"
	Stop    Kind = "stop"
	Reload  Kind = "reload"
)

// The faults between callers and an instance; Who is the number of the instance.
const (
	CallerReset  Kind = "caller-reset"
	CallerSilent Kind = "caller-silent"
	CallerOneWay Kind = "caller-one-way"
	CallerSlow   Kind = "caller-slow"
	CallerForget Kind = "caller-forget"
)

// The faults of the store; Who is the number of the instance that StoreRefuses turns away.
const (
	StoreDown    Kind = "store-down"
	StoreSilent  Kind = "store-silent"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses"
	StoreRefuses Kind = "store-refuses"
	StoreForgets Kind = "store-forgets"
)

// The faults of endpoints, and between instances and an endpoint; Who is the number of the endpoint.
const (
	EndpointHang    Kind = "endpoint-hang"
	EndpointShed    Kind = "endpoint-shed"
	EndpointLose    Kind = "endpoint-lose"
	EndpointSpoil   Kind = "endpoint-spoil"
	EndpointSlow    Kind = "endpoint-slow"
	EndpointRestart Kind = "endpoint-restart"
	EndpointDrain   Kind = "endpoint-drain"
	EndpointReset   Kind = "endpoint-reset"
	EndpointSilent  Kind = "endpoint-silent"
	EndpointOneWay  Kind = "endpoint-one-way"
	EndpointForget  Kind = "endpoint-forget"
)

// The changes of the configuration; Who is the number of versions.
const (
	Configure    Kind = "configure"
	ConfigureBig Kind = "configure-big"
	// ConfigureOld publishes the version before once more, and then a new one.
	ConfigureOld Kind = "configure-old"
)

// Event is one fault of a run.
type Event struct {
	At   time.Duration
	Kind Kind
	Who  int
	// For is how long the fault lasts, or 0 when it is over at once.
	For time.Duration
}

// String returns the event as one line of a log.
func (e Event) String() string {
	return fmt.Sprintf("%7.3fs %s %d for %v", e.At.Seconds(), e.Kind, e.Who, e.For)
}

// span bounds how long a fault lasts.
type span struct {
	least, most time.Duration
	// weight is how often the fault is drawn.
	weight int
	// of is the group that Who is drawn from.
	of group
}

type group int

const (
	none group = iota
	instances
	endpoints
	versions
)

const (
	second = time.Second
	tenth  = time.Second / 10
)

var spans = map[Kind]span{
	Kill:            {least: 3 * tenth, most: 2 * second, weight: 3, of: instances},
	KillAll:         {least: 3 * tenth, most: second, weight: 1},
	Pause:           {least: 2 * tenth, most: 3 * second, weight: 4, of: instances},
	Stop:            {least: tenth, most: second, weight: 5, of: instances},
	Reload:          {weight: 3, of: instances},
	CallerReset:     {weight: 2, of: instances},
	CallerSilent:    {least: 3 * tenth, most: 2 * second, weight: 2, of: instances},
	CallerOneWay:    {least: 3 * tenth, most: 2 * second, weight: 2, of: instances},
	CallerSlow:      {least: second, most: 3 * second, weight: 1, of: instances},
	CallerForget:    {weight: 2, of: instances},
	StoreDown:       {least: 5 * tenth, most: 4 * second, weight: 2},
	StoreSilent:     {least: 5 * tenth, most: 4 * second, weight: 2},
	StoreSlow:       {least: second, most: 3 * second, weight: 2},
	StoreLoses:      {least: 5 * tenth, most: 2 * second, weight: 2},
	StoreRefuses:    {least: second, most: 5 * second, weight: 3, of: instances},
	StoreForgets:    {weight: 2},
	EndpointHang:    {least: second, most: 3 * second, weight: 2, of: endpoints},
	EndpointShed:    {least: second, most: 3 * second, weight: 2, of: endpoints},
	EndpointLose:    {least: 5 * tenth, most: 3 * second, weight: 3, of: endpoints},
	EndpointSpoil:   {least: 5 * tenth, most: 3 * second, weight: 3, of: endpoints},
	EndpointSlow:    {least: second, most: 4 * second, weight: 2, of: endpoints},
	EndpointRestart: {least: tenth, most: 2 * second, weight: 3, of: endpoints},
	EndpointDrain:   {least: 3 * second, most: 5 * second, weight: 3, of: endpoints},
	EndpointReset:   {weight: 2, of: endpoints},
	EndpointSilent:  {least: 3 * tenth, most: 3 * second, weight: 2, of: endpoints},
	EndpointOneWay:  {least: 3 * tenth, most: 3 * second, weight: 2, of: endpoints},
	EndpointForget:  {weight: 2, of: endpoints},
	Configure:       {weight: 8, of: versions},
	ConfigureBig:    {weight: 1, of: versions},
	ConfigureOld:    {least: 3 * tenth, most: second, weight: 3},
}

// Shape is what a schedule is drawn for.
type Shape struct {
	Length    time.Duration
	Instances int
	Endpoints int
	// Gap is the mean time between two faults.
	Gap time.Duration
}

// burst is the most versions of one change of the configuration.
const burst = 4

// NewSchedule draws the events of a seed in the order of their times; the same seed and shape give the same events.
func NewSchedule(seed uint64, shape Shape) []Event {
	random := rand.New(rand.NewPCG(seed, 0))
	sizes := map[group]int{
		none:      1,
		instances: shape.Instances,
		endpoints: shape.Endpoints,
		versions:  burst,
	}
	var bag []Kind
	for kind, span := range spans {
		bag = append(bag, slices.Repeat([]Kind{kind}, span.weight)...)
	}
	slices.SortFunc(bag, func(a, b Kind) int {
		return cmp.Compare(a, b)
	})
	var events []Event
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(shape.Gap))
		if at >= shape.Length {
			return events
		}
		kind := bag[random.IntN(len(bag))]
		span := spans[kind]
		event := Event{
			At:   at,
			Kind: kind,
			Who:  random.IntN(sizes[span.of]),
		}
		if span.most > 0 {
			event.For = span.least + time.Duration(random.Int64N(int64(span.most-span.least)))
		}
		events = append(events, event)
	}
}
