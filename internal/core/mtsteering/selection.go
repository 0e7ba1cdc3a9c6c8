// All instances with the same view select the same receivers and readers without exchanging messages. Both selections
// go by seniority, so an instance that restarts does not take a role from one that performs it, and a restart of all
// instances moves each role at most once.
//
// Few instances receive callers, because an instance that knows all requests at an endpoint places better than many
// that guess. At least two do, so that a caller whose first address fails has another one.

package mtsteering

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// heartbeatTimeout is the silence after which an instance loses its roles; instances with a role send a heartbeat
	// every 400 ms.
	heartbeatTimeout = 1300 * time.Millisecond
	// minReceivers is the smallest number of instances that callers are sent to.
	minReceivers = 2
	// requestCoreSeconds is the processor time of one request in core seconds, at the load of the users' benchmark and
	// with the probes that it causes.
	requestCoreSeconds = 0.0006
	// maxCPUFraction is the mean fraction of an instance's processor that requests may take before another instance
	// receives callers. The remainder covers bursts and new connections; a new connection to each endpoint costs as
	// much as several requests.
	maxCPUFraction = 0.25
	// maxLinkFraction is the mean fraction of an instance's link that answers may take before another instance receives
	// callers. The remainder covers bursts.
	maxLinkFraction = 0.3
	// defaultAnswerMegabits is the size of an answer in megabits before any was sent.
	defaultAnswerMegabits = 0.08
	// maxFeedAgeLag is how much older than the newest feed data of any instance the feed data of an instance may be
	// before the instance is selected last. It exceeds the differences in age between instances in contact.
	maxFeedAgeLag = 2 * time.Second
	// maxReaders is one instance that reads the store for all, and one standby.
	maxReaders = 2
)

// Candidate is an instance that may be selected.
type Candidate struct {
	Name   string
	Centre string
	// CallAddress is the address that callers connect to.
	CallAddress string
	// Epoch is the start time of the instance by its own clock; it only has to be the same for all observers.
	Epoch uint64
	// Cores is the processor share in cores.
	Cores float64
	// LinkMbps is the bandwidth in megabits a second, or 0 when it is not known.
	LinkMbps float64
	// TrafficMbps is what the instance sends to callers, in megabits a second.
	TrafficMbps float64
	// RequestRate is the number of requests a second that callers send to the instance.
	RequestRate float64
	Ready       bool
	Leaving     bool
	// StoreUnreachable is set while the instance can't read the store.
	StoreUnreachable bool
	// FeedAge is the age of the instance's oldest feed data.
	FeedAge time.Duration
	// CPUStarved is set while the instance does not get the processor time that it needs.
	CPUStarved bool
	// RelayAddress is the address for requests that other instances pass on, or empty.
	RelayAddress string
	// LostServices are the services of which the instance reaches no endpoint.
	LostServices []string
	// SinceHeartbeat is the time since a heartbeat of the instance last arrived.
	SinceHeartbeat time.Duration
}

// rankedCandidate is a candidate with its sort keys, the most significant first.
type rankedCandidate struct {
	*Candidate
	// penalties is the number of conditions that count against the instance.
	penalties int
	// negatedTier is the negated capacity tier, which is lower for instances of more capacity.
	negatedTier int
	// selectedInCentre is the number of instances in the same data centre that are selected already.
	selectedInCentre int
}

func (r rankedCandidate) compare(other rankedCandidate) int {
	return cmp.Or(cmp.Compare(r.penalties, other.penalties), cmp.Compare(r.negatedTier, other.negatedTier),
		cmp.Compare(r.selectedInCentre, other.selectedInCentre), compareSeniority(*r.Candidate, *other.Candidate))
}

// SelectReceivers returns the instances that callers are sent to.
//
// While no instance has seen a load, as after a restart of all, there is one in each data centre.
//
// Among equal instances, the next receiver is in a data centre with the fewest receivers so far: the loss of a data
// centre leaves some, and requests find nearby endpoints in several data centres.
func SelectReceivers(candidates []Candidate) []Candidate {
	eligible := filterCandidates(candidates, func(c *Candidate) bool {
		return c.Ready && !c.Leaving && c.SinceHeartbeat <= heartbeatTimeout
	})
	if len(eligible) == 0 {
		eligible = filterCandidates(candidates, func(c *Candidate) bool {
			return !c.Leaving
		})
	}
	rate, answerMegabits := totalLoad(candidates)
	minAge := minFeedAge(eligible)
	for i, r := range eligible {
		eligible[i].penalties = countTrue(r.FeedAge > minAge+maxFeedAgeLag, r.CPUStarved, len(r.LostServices) > 0)
		eligible[i].negatedTier = -capacityTier(*r.Candidate, answerMegabits)
	}
	minCount := minReceivers
	if rate == 0 {
		minCount = max(minCount, countCentres(eligible))
	}
	var receivers []Candidate
	capacity := 0.0
	for len(eligible) > 0 && (len(receivers) < minCount || capacity < rate) {
		selected := removeBest(&eligible)
		receivers = append(receivers, selected)
		capacity += requestCapacity(selected, answerMegabits)
		for i, r := range eligible {
			eligible[i].selectedInCentre += countTrue(r.Centre == selected.Centre)
		}
	}
	return receivers
}

// SelectReaders returns the instance that reads the store for all, followed by its standby, in different data centres where
// possible.
func SelectReaders(candidates []Candidate) []Candidate {
	eligible := filterCandidates(candidates, func(c *Candidate) bool {
		return !c.Leaving && c.SinceHeartbeat <= heartbeatTimeout
	})
	for i, r := range eligible {
		eligible[i].penalties = countTrue(r.StoreUnreachable, r.CPUStarved)
	}
	var selected []Candidate
	for len(eligible) > 0 && len(selected) < maxReaders {
		reader := removeBest(&eligible)
		selected = append(selected, reader)
		// Instances of the same data centre rank below all others.
		for i, r := range eligible {
			eligible[i].penalties += len(candidates) * countTrue(r.Centre == reader.Centre)
		}
	}
	return selected
}

// filterCandidates returns the eligible candidates with all sort keys zero.
func filterCandidates(candidates []Candidate, isEligible func(*Candidate) bool) []rankedCandidate {
	eligible := make([]rankedCandidate, 0, len(candidates))
	for i := range candidates {
		if isEligible(&candidates[i]) {
			eligible = append(eligible, rankedCandidate{
				Candidate: &candidates[i],
			})
		}
	}
	return eligible
}

// removeBest removes the best candidate and returns it. It does not sort, because few of many are selected, four times
// a second.
func removeBest(eligible *[]rankedCandidate) Candidate {
	all := *eligible
	best := 0
	for i := range all {
		if all[i].compare(all[best]) < 0 {
			best = i
		}
	}
	selected := *all[best].Candidate
	all[best] = all[len(all)-1]
	*eligible = all[:len(all)-1]
	return selected
}

// SeniorityRank returns the seniority rank of an instance among the reachable instances, from 0, and the number of these.
func SeniorityRank(candidates []Candidate, name string) (rank, reachable int) {
	self := slices.IndexFunc(candidates, func(c Candidate) bool {
		return c.Name == name
	})
	for _, c := range candidates {
		if c.SinceHeartbeat > heartbeatTimeout {
			continue
		}
		reachable++
		if self >= 0 && compareSeniority(c, candidates[self]) < 0 {
			rank++
		}
	}
	return rank, reachable
}

// minFeedAge returns the age of the newest feed data of any instance.
//
// Feed ages are compared with the others, not with a fixed limit: an instance that can't read the store gets the
// changes from those that can, and while the store is down for all, no instance is worse than the others.
func minFeedAge(candidates []rankedCandidate) time.Duration {
	minAge := time.Duration(math.MaxInt64)
	for _, candidate := range candidates {
		minAge = min(minAge, candidate.FeedAge)
	}
	return minAge
}

// countTrue returns the number of conditions that are met.
func countTrue(conditions ...bool) int {
	number := 0
	for _, condition := range conditions {
		if condition {
			number++
		}
	}
	return number
}

// countCentres returns the number of data centres that the instances are in.
func countCentres(instances []rankedCandidate) int {
	seen := map[string]bool{}
	for _, instance := range instances {
		seen[instance.Centre] = true
	}
	return len(seen)
}

// totalLoad returns the number of requests a second at all instances, and the mean size of an answer in megabits.
func totalLoad(candidates []Candidate) (rate, answerMegabits float64) {
	traffic := 0.0
	for _, candidate := range candidates {
		rate += candidate.RequestRate
		traffic += candidate.TrafficMbps
	}
	if rate < 1 || traffic == 0 {
		return rate, defaultAnswerMegabits
	}
	return rate, traffic / rate
}

// RequestCapacities returns a function for the number of requests a second that one of the candidates can serve.
func RequestCapacities(candidates []Candidate) func(Candidate) float64 {
	_, answerMegabits := totalLoad(candidates)
	return func(candidate Candidate) float64 {
		return requestCapacity(candidate, answerMegabits)
	}
}

// requestCapacity returns the number of requests a second that an instance can serve with its processor and its link.
func requestCapacity(c Candidate, answerMegabits float64) float64 {
	perSecond := c.Cores * maxCPUFraction / requestCoreSeconds
	if c.LinkMbps > 0 {
		perSecond = min(perSecond, c.LinkMbps*maxLinkFraction/answerMegabits)
	}
	return perSecond
}

// capacityTier groups instances of about the same request capacity, in powers of two.
func capacityTier(c Candidate, answerMegabits float64) int {
	perSecond := requestCapacity(c, answerMegabits)
	if perSecond < 1 {
		return 0
	}
	return int(math.Log2(perSecond))
}

// NominalTier returns the capacity tier that follows from the processor and the link alone, whatever the size of responses. All
// instances agree on it for as long as an instance runs.
func NominalTier(c Candidate) int {
	return capacityTier(c, defaultAnswerMegabits)
}

// compareSeniority orders instances by start time, the oldest first, then by name.
func compareSeniority(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), strings.Compare(a.Name, b.Name))
}
