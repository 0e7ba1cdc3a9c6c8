// Both assignments use rendezvous hashing: the candidate with the highest hash of (service or endpoint, candidate) is
// chosen. So the loss of a candidate only moves what was assigned to it, and all instances with the same membership
// view compute the same assignment without communication. No instance leads more endpoints than the mean, rounded up,
// because calls to an endpoint whose lead is overloaded wait while other instances are idle.

package mtrendezvous

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Node is an instance or endpoint in a data centre.
type Node struct {
	Name   string
	Centre string
}

// ServingInstances returns the candidates that serve a service: perCentre instances of each data centre, or all if a data centre
// has fewer, and at least two in all if there are two candidates. They are in descending order of their hashes.
func ServingInstances(service string, candidates []Node, perCentre int) []Node {
	var serving, spare []Node
	counts := map[string]int{}
	for _, candidate := range rank(service, candidates) {
		if counts[candidate.Centre] < perCentre {
			counts[candidate.Centre]++
			serving = append(serving, candidate)
		} else {
			spare = append(spare, candidate)
		}
	}
	if len(serving) == 1 && len(spare) > 0 {
		serving = append(serving, spare[0])
	}
	return serving
}

// CentreFirst returns the instances with those of one data centre first, and otherwise in the given order.
func CentreFirst(instances []Node, centre string) []Node {
	ordered := slices.Clone(instances)
	slices.SortStableFunc(ordered, func(a, b Node) int {
		return distance(a, centre) - distance(b, centre)
	})
	return ordered
}

// distance returns 0 for a place in the data centre and 1 for any other.
func distance(place Node, centre string) int {
	if place.Centre == centre {
		return 0
	}
	return 1
}

// ChooseLeads returns the name of the lead of each endpoint by endpoint name. Leads are in the data centre of their endpoint
// if it has an instance.
func ChooseLeads(endpoints, instances []Node) map[string]string {
	leads := make(map[string]string, len(endpoints))
	if len(instances) == 0 {
		return leads
	}
	byCentre := map[string][]Node{}
	for _, endpoint := range endpoints {
		byCentre[endpoint.Centre] = append(byCentre[endpoint.Centre], endpoint)
	}
	for centre, group := range byCentre {
		candidates := slices.DeleteFunc(slices.Clone(instances), func(instance Node) bool {
			return instance.Centre != centre
		})
		if len(candidates) == 0 {
			candidates = instances
		}
		assignLeads(leads, group, candidates)
	}
	return leads
}

// assignLeads adds a lead for each endpoint to leads; no instance becomes the lead of more endpoints than the mean,
// rounded up.
func assignLeads(leads map[string]string, endpoints, instances []Node) {
	maxLeads := (len(endpoints) + len(instances) - 1) / len(instances)
	leadCounts := map[string]int{}
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b Node) int {
		return strings.Compare(a.Name, b.Name)
	})
	for _, endpoint := range sorted {
		for _, instance := range rank(endpoint.Name, instances) {
			if leadCounts[instance.Name] < maxLeads {
				leadCounts[instance.Name]++
				leads[endpoint.Name] = instance.Name
				break
			}
		}
	}
}

// rank returns the candidates in descending order of the hash of (key, candidate).
func rank(key string, candidates []Node) []Node {
	type hashedPlace struct {
		place Node
		hash  uint64
	}
	hashed := make([]hashedPlace, 0, len(candidates))
	for _, candidate := range candidates {
		hashed = append(hashed, hashedPlace{
			place: candidate,
			hash:  xxhash.Sum64String(key + "\x00" + candidate.Name),
		})
	}
	slices.SortFunc(hashed, func(a, b hashedPlace) int {
		if a.hash != b.hash {
			if a.hash > b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.place.Name, b.place.Name)
	})
	places := make([]Node, len(hashed))
	for i, entry := range hashed {
		places[i] = entry.place
	}
	return places
}
