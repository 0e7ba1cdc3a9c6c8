// Load pattern: callers move between instances, and the limit must hold over all of them. Every instance announces its
// demand and the fraction of the limit that it uses. While the total demand is below the limit, an instance desires its
// demand and a part of the unused rest: half of the rest is split by demand, for bursts, and half evenly, so that
// callers that move to the instance are admitted at once. Above the limit it desires its demand divided by the total
// demand. It lowers its fraction to that at once, but raises it only into what the announced fractions of the others
// leave free:
//
//	A has 0.9 and desires 0.3   -> uses 0.3 now, announces 0.3
//	B has 0.1 and desires 0.7   -> stays at 0.1 until A's 0.3 arrives, then uses 0.7
//
// Instances that raise at the same time divide the free fraction in proportion to what each lacks. With equal views the
// fractions in use never add up to more than 1, because a raise is calculated with the own demand that was announced,
// as the others see it. With stale views the sum can exceed 1 by the changes that have not arrived yet. A minimum
// demand reserves a fraction for an instance that has not been called yet.

package mtshare

// idleDemand is added to the demand of each instance, in calls per second, so that an idle one gets a fraction.
const idleDemand = 0.5

// minClaimGrowth is the smallest factor by which a claim must raise the fraction.
const minClaimGrowth = 2

// assumedUtilization replaces the ratio of the total demand to the limit when only the concurrency is bounded.
const assumedUtilization = 0.5

// Share is the fraction of one limit that one instance may use.
type Share struct {
	// fraction is from 0 to 1.
	fraction float64
	// demand is the announced demand in calls per second.
	demand float64
}

// Announcement is the latest announcement of another instance for the same limit.
type Announcement struct {
	// Demand is in calls per second.
	Demand float64
	// Fraction is the fraction of the limit in use, from 0 to 1.
	Fraction float64
}

// Fraction returns the fraction of the limit that the instance may use, from 0 to 1.
func (s *Share) Fraction() float64 {
	return s.fraction
}

// Adjust moves the fraction towards the own demand, which is announced from now on, and returns it. The demand and the
// limit are in calls per second; the limit is 0 when only the concurrency is bounded.
func (s *Share) Adjust(demand, limit float64, others []Announcement) float64 {
	announcedDemand := s.demand
	s.demand = demand
	total, usedByOthers := totals(others)
	if desired := desiredFraction(demand, total, limit, len(others)+1); desired <= s.fraction {
		s.fraction = desired
		return s.fraction
	}
	desired := desiredFraction(announcedDemand, total, limit, len(others)+1)
	if desired <= s.fraction {
		return s.fraction
	}
	shortfalls := desired - s.fraction
	for _, other := range others {
		shortfalls += max(0,
			desiredFraction(other.Demand, total-other.Demand+announcedDemand, limit, len(others)+1)-other.Fraction)
	}
	free := max(0, 1-usedByOthers-s.fraction)
	s.fraction += min(desired-s.fraction, free*(desired-s.fraction)/shortfalls)
	return s.fraction
}

// RaiseUnannounced raises the fraction at once for a demand that is not announced yet, by at most half of what the others leave
// free, and returns the fraction.
//
// It is for an instance to which callers have just moved, so the demand must need at least minClaimGrowth times the
// fraction; smaller claims of all instances at once would exceed a limit that is used up. One instance that claims
// keeps the sum within the limit; two that claim at the same time can exceed it until the next Adjust.
func (s *Share) RaiseUnannounced(demand, limit float64, others []Announcement) float64 {
	total, usedByOthers := totals(others)
	desired := desiredFraction(demand, total, limit, len(others)+1)
	if desired < minClaimGrowth*s.fraction {
		return s.fraction
	}
	free := max(0, 1-usedByOthers-s.fraction)
	s.fraction += min(desired-s.fraction, free/2)
	return s.fraction
}

func totals(announcements []Announcement) (demand, fraction float64) {
	for _, announcement := range announcements {
		demand += announcement.Demand
		fraction += announcement.Fraction
	}
	return demand, fraction
}

// desiredFraction returns the fraction of the limit that fits an instance's demand, given the total demand of the
// others.
func desiredFraction(demand, others, limit float64, instances int) float64 {
	total := demand + others + idleDemand*float64(instances)
	utilization := assumedUtilization
	if limit > 0 {
		utilization = min(1, total/limit)
	}
	evenSplit := (1 - utilization) / 2
	return (1-evenSplit)*(demand+idleDemand)/total + evenSplit/float64(instances)
}
