// Every instance announces its demand and the part of the limit that it uses. While the demand of all is below the limit,
// an instance wants what it is asked for and a part of the rest, half of it split by demand, for bursts, and half evenly,
// so that callers that move to it are admitted at once.
// Above the limit it wants its demand divided by the demand of all. It falls to that at once, but rises only into what
// the announced parts of the others leave free:
//
//	A has 0.9 and wants 0.3   -> uses 0.3 now, announces 0.3
//	B has 0.1 and wants 0.7   -> stays at 0.1 until it hears A's 0.3, then uses 0.7
//
// Instances that rise at the same moment divide what is free by how much each lacks. With equal views the parts in use
// never add up to more than 1, because a rise counts with the own demand that was announced, as the others see it; a stale
// view can exceed it by what it has not heard yet. A floor of demand keeps a part for
// an instance that has not been called yet.

package mtshare

// floorDemand is the demand in calls per second that an idle instance counts with.
const floorDemand = 0.5

// claimFactor is by how much a demand must exceed the part before it is claimed at once.
const claimFactor = 2

// unknownPart stands for the part of a limit that is asked for, when only the concurrency is bounded.
const unknownPart = 0.5

// Share is one instance's part of one limit.
type Share struct {
	part   float64
	demand float64
}

// Announcement is what another instance last said of the same limit.
type Announcement struct {
	// Demand is in calls per second.
	Demand float64
	// Part is the fraction of the limit in use, from 0 to 1.
	Part float64
}

// Part returns the fraction of the limit that may be used at present.
func (s *Share) Part() float64 {
	return s.part
}

// Adjust moves the part towards the own demand, which is announced from now on; limit is in calls per second, or 0 when only the concurrency is bounded.
func (s *Share) Adjust(demand, limit float64, others []Announcement) float64 {
	told := s.demand
	s.demand = demand
	total, held := sums(others)
	if want := wish(demand, total, limit, len(others)+1); want <= s.part {
		s.part = want
		return s.part
	}
	want := wish(told, total, limit, len(others)+1)
	if want <= s.part {
		return s.part
	}
	gaps := want - s.part
	for _, other := range others {
		gaps += max(0, wish(other.Demand, total-other.Demand+told, limit, len(others)+1)-other.Part)
	}
	free := max(0, 1-held-s.part)
	s.part += min(want-s.part, free*(want-s.part)/gaps)
	return s.part
}

// Claim moves the part at once towards a demand that nobody has heard of, into at most half of what the others leave free.
//
// It serves an instance to which callers have just moved, so the demand must ask for twice the part at least; smaller
// claims of all instances at once would exceed a limit that is used up. One instance that claims keeps the sum within the limit; two
// that claim at the same moment can exceed it until the next Adjust.
func (s *Share) Claim(demand, limit float64, others []Announcement) float64 {
	total, held := sums(others)
	want := wish(demand, total, limit, len(others)+1)
	if want < claimFactor*s.part {
		return s.part
	}
	free := max(0, 1-held-s.part)
	s.part += min(want-s.part, free/2)
	return s.part
}

func sums(announcements []Announcement) (demand, part float64) {
	for _, one := range announcements {
		demand += one.Demand
		part += one.Part
	}
	return demand, part
}

// wish returns the part that fits an instance's demand, given the demand of the others.
func wish(demand, others, limit float64, instances int) float64 {
	total := demand + others + floorDemand*float64(instances)
	asked := unknownPart
	if limit > 0 {
		asked = min(1, total/limit)
	}
	even := (1 - asked) / 2
	return (1-even)*(demand+floorDemand)/total + even/float64(instances)
}
