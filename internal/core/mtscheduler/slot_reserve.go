// The load pattern: requests of low priority that take several times longer than the urgent ones. Whenever fewer urgent
// requests wait than slots are free, long ones take the rest, and the next urgent request waits until one of these ends.
// Therefore as many slots are kept free of long work as the urgent requests have recently needed, with a margin for
// bursts.

package mtscheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtrate"
)

const (
	// longWorkRatio is how many times longer than the more urgent requests a request takes to count as long work.
	longWorkRatio = 2
	// maxReservedSlotRatio bounds the slots that are kept free of long work, as a ratio of the slots.
	maxReservedSlotRatio = 0.75
	// reserveRecheckInterval is the time after which a request that found only such slots is decided on again.
	reserveRecheckInterval = 50 * time.Millisecond
	// urgencyTimeWeight is the weight of one request in the mean processing time of an urgency.
	urgencyTimeWeight = 0.05
)

// slotReserve knows the slots that requests of each urgency need. It counts only while tenants have priorities.
type slotReserve struct {
	// loads are sorted by urgency, the most urgent first.
	loads []*urgencyLoad
}

// urgency is the priority of a tenant and of a route.
type urgency struct {
	tenantPriority int
	priority       int
}

func (u urgency) compare(other urgency) int {
	return cmp.Or(cmp.Compare(u.tenantPriority, other.tenantPriority), cmp.Compare(u.priority, other.priority))
}

func (r *Request) urgency() urgency {
	return urgency{
		tenantPriority: r.TenantPriority,
		priority:       r.Priority,
	}
}

// urgencyLoad is the load of the requests of one urgency.
type urgencyLoad struct {
	urgency urgency
	// demand is the processing time of the requests that arrive, in seconds a second: the number of slots that they need.
	demand             mtrate.Rate
	meanProcessingTime ewma
	// running is the number of requests that are assigned.
	running int
}

// loadOf returns the load of the request's urgency.
func (r *slotReserve) loadOf(request *Request) *urgencyLoad {
	index, found := slices.BinarySearchFunc(r.loads, request.urgency(), func(load *urgencyLoad, urgency urgency) int {
		return load.urgency.compare(urgency)
	})
	if !found {
		r.loads = slices.Insert(r.loads, index, &urgencyLoad{
			urgency: request.urgency(),
			meanProcessingTime: ewma{
				weight: urgencyTimeWeight,
			},
		})
	}
	return r.loads[index]
}

// recordArrival counts a request that arrives.
func (r *slotReserve) recordArrival(request *Request, processingTime time.Duration, now time.Time) {
	load := r.loadOf(request)
	load.demand.Add(processingTime.Seconds(), now)
	load.meanProcessingTime.add(float64(processingTime))
}

// reservedSlots returns the number of free slots that a request must leave to more urgent ones, of a number of slots in
// all.
func (r *slotReserve) reservedSlots(request *Request, processingTime time.Duration, slots float64, now time.Time) int {
	demand, running := 0.0, 0
	for _, load := range r.loads {
		if load.urgency.compare(request.urgency()) >= 0 {
			break
		}
		if float64(processingTime) > longWorkRatio*load.meanProcessingTime.value {
			demand += load.demand.PerSecond(now)
			running += load.running
		}
	}
	if demand == 0 {
		return 0
	}
	// The square root is the standard deviation of the number of running requests if these arrive independently.
	needed := min(demand+math.Sqrt(demand), maxReservedSlotRatio*slots)
	return max(0, int(math.Ceil(needed))-running)
}

// reservedSlots returns the number of free slots that a request must leave to more urgent ones.
func (s *Scheduler) reservedSlots(request *Request, capacity capacity, now time.Time) int {
	if !s.fairShare.isActive() {
		return 0
	}
	slots := float64(capacity.slots) * max(minOwnSlotRatio, 1-s.currentPeerSlotRatio(now))
	return s.slotReserve.reservedSlots(request, s.estimateOf(request).processingTime(), slots, now)
}
