// All instances with the same view choose the same ones without a word. Both choices go by seniority, so an instance that
// comes back does not take a role from one that fills it, and a restart of all moves each role at most once.
//
// Few instances receive callers, because one that knows all requests at an endpoint places better than many that guess.
// At least two do, so that a caller whose first address fails has another one.

package mtsteer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// silenceLimit is the silence after which an instance loses its roles; instances with a role beat every 400 ms.
	silenceLimit = 1300 * time.Millisecond
	// crewSmallest is the fewest instances that callers are sent to.
	crewSmallest = 2
	// callCost is the processor time of one request in core seconds, as measured under the users' bench with its probes.
	callCost = 0.0006
	// busyShare is the part of an instance's processor that requests may take before another instance joins; what is above the
	// mean comes in bursts, and a new connection to each endpoint costs as much as several requests.
	busyShare = 0.25
	// linkShare is the part of an instance's link that answers may take before another instance joins; what is above the mean
	// comes in bursts.
	linkShare = 0.3
	// sizeDefault is the size of an answer in megabits before any was sent.
	sizeDefault = 0.08
	// staleMore is how much older than the youngest news those of an instance may be before it is taken last: more than the
	// ages that instances in touch differ by.
	staleMore = 2 * time.Second
	// readers is the number of instances that read the store for all or stand by.
	readers = 2
)

// Candidate is an instance that may be chosen.
type Candidate struct {
	Name   string
	Centre string
	Calls  string
	// Epoch is the moment of the instance's start by its own clock; it only has to be the same for all observers.
	Epoch uint64
	// Capacity is the processor share in cores.
	Capacity float64
	// Link is the bandwidth in megabits a second, or 0 when it is not known, and Traffic what the instance sends to callers.
	Link    float64
	Traffic float64
	// Rate is the number of requests a second that callers send to the instance.
	Rate    float64
	Ready   bool
	Leaving bool
	// Cut is set while the instance can't read the store.
	Cut bool
	// Age is the age of the oldest of the instance's news.
	Age time.Duration
	// Strained is set while the instance does not get the processor time that it needs.
	Strained bool
	// Silence is how long nothing was heard of the instance.
	Silence time.Duration
}

// ranked is a candidate with what it is chosen by, the first field before the next.
type ranked struct {
	*Candidate
	// handicap is the number of reasons against the instance.
	handicap int
	// weakness is lower for instances that carry more.
	weakness int
	// beside is the number of instances chosen already in the same data centre.
	beside int
}

func (r ranked) compare(other ranked) int {
	return cmp.Or(cmp.Compare(r.handicap, other.handicap), cmp.Compare(r.weakness, other.weakness),
		cmp.Compare(r.beside, other.beside), bySeniority(*r.Candidate, *other.Candidate))
}

// Crew returns the instances that callers are sent to.
//
// While no instance has seen a load, as after a restart of all, there is one in each data centre.
//
// Of instances that are as good, the next is in a data centre with the fewest of those before it: the loss of a data centre leaves
// some, and requests find endpoints near by in several.
func Crew(candidates []Candidate) []Candidate {
	usable := rank(candidates, func(c *Candidate) bool {
		return c.Ready && !c.Leaving && c.Silence <= silenceLimit
	})
	if len(usable) == 0 {
		usable = rank(candidates, func(c *Candidate) bool {
			return !c.Leaving
		})
	}
	rate, size := load(candidates)
	newest := newestNews(usable)
	for i, r := range usable {
		usable[i].handicap = count(r.Age > newest+staleMore, r.Strained)
		usable[i].weakness = -tier(*r.Candidate, size)
	}
	smallest := crewSmallest
	if rate == 0 {
		smallest = max(smallest, centres(usable))
	}
	var crew []Candidate
	capacity := 0.0
	for len(usable) > 0 && (len(crew) < smallest || capacity < rate) {
		chosen := takeBest(&usable)
		crew = append(crew, chosen)
		capacity += carries(chosen, size)
		for i, r := range usable {
			usable[i].beside += count(r.Centre == chosen.Centre)
		}
	}
	return crew
}

// Readers returns the instance that reads the store for all and the one that stands by, in different data centres where there
// are such.
func Readers(candidates []Candidate) []Candidate {
	usable := rank(candidates, func(c *Candidate) bool {
		return !c.Leaving && c.Silence <= silenceLimit
	})
	for i, r := range usable {
		usable[i].handicap = count(r.Cut, r.Strained)
	}
	var chosen []Candidate
	for len(usable) > 0 && len(chosen) < readers {
		reader := takeBest(&usable)
		chosen = append(chosen, reader)
		// Those of the same data centre come after all others.
		for i, r := range usable {
			usable[i].handicap += len(candidates) * count(r.Centre == reader.Centre)
		}
	}
	return chosen
}

// rank returns the candidates that may be chosen, without anything for or against them.
func rank(candidates []Candidate, isUsable func(*Candidate) bool) []ranked {
	usable := make([]ranked, 0, len(candidates))
	for i := range candidates {
		if isUsable(&candidates[i]) {
			usable = append(usable, ranked{
				Candidate: &candidates[i],
			})
		}
	}
	return usable
}

// takeBest takes the best one out. A whole order is not needed: few are taken of many, four times a second.
func takeBest(usable *[]ranked) Candidate {
	all := *usable
	best := 0
	for i := range all {
		if all[i].compare(all[best]) < 0 {
			best = i
		}
	}
	chosen := *all[best].Candidate
	all[best] = all[len(all)-1]
	*usable = all[:len(all)-1]
	return chosen
}

// Place returns the place of an instance by seniority among those that are heard, and their number.
func Place(candidates []Candidate, name string) (place, fleet int) {
	self := slices.IndexFunc(candidates, func(c Candidate) bool {
		return c.Name == name
	})
	for _, c := range candidates {
		if c.Silence > silenceLimit {
			continue
		}
		fleet++
		if self >= 0 && bySeniority(c, candidates[self]) < 0 {
			place++
		}
	}
	return place, fleet
}

// newestNews returns the age of the news of the instance that has the youngest.
//
// An instance is judged by what it knows beside the others: one that can't read the store hears from those that can, and while
// the store is down for all, nobody is worse than the next.
func newestNews(candidates []ranked) time.Duration {
	newest := time.Duration(math.MaxInt64)
	for _, candidate := range candidates {
		newest = min(newest, candidate.Age)
	}
	return newest
}

// count returns the number of reasons against an instance.
func count(reasons ...bool) int {
	number := 0
	for _, reason := range reasons {
		if reason {
			number++
		}
	}
	return number
}

// centres returns the number of data centres that instances are in.
func centres(instances []ranked) int {
	seen := map[string]bool{}
	for _, instance := range instances {
		seen[instance.Centre] = true
	}
	return len(seen)
}

// load returns the number of requests a second that all instances get, and the mean size of an answer in megabits.
func load(candidates []Candidate) (rate, size float64) {
	traffic := 0.0
	for _, candidate := range candidates {
		rate += candidate.Rate
		traffic += candidate.Traffic
	}
	if rate < 1 || traffic == 0 {
		return rate, sizeDefault
	}
	return rate, traffic / rate
}

// carries returns the number of requests a second that an instance can serve by its processor and its link.
func carries(c Candidate, size float64) float64 {
	calls := c.Capacity * busyShare / callCost
	if c.Link > 0 {
		calls = min(calls, c.Link*linkShare/size)
	}
	return calls
}

// tier groups instances that carry about the same, in powers of two.
func tier(c Candidate, size float64) int {
	calls := carries(c, size)
	if calls < 1 {
		return 0
	}
	return int(math.Log2(calls))
}

func bySeniority(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), strings.Compare(a.Name, b.Name))
}
