// Both choices use rendezvous hashing: each candidate gets a hash of (service or endpoint, candidate) and the highest
// wins, so the loss of one candidate moves only what that candidate held, and all instances with the same view agree
// without a word. Leads are bounded too: no member leads more than its even part, rounded up, because an endpoint
// with an overworked lead waits while the others idle.

package mtcrew

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Place is an instance or endpoint in a data centre.
type Place struct {
	Name   string
	Centre string
}

// Members returns the crew of a service: at least perCentre instances of each data centre, and two in all.
func Members(service string, candidates []Place, perCentre int) []Place {
	var crew, spare []Place
	counts := map[string]int{}
	for _, candidate := range rank(service, candidates) {
		if counts[candidate.Centre] < perCentre {
			counts[candidate.Centre]++
			crew = append(crew, candidate)
		} else {
			spare = append(spare, candidate)
		}
	}
	if len(crew) == 1 && len(spare) > 0 {
		crew = append(crew, spare[0])
	}
	return crew
}

// Order puts the members of one data centre before the others, and keeps the order otherwise.
func Order(crew []Place, centre string) []Place {
	ordered := slices.Clone(crew)
	slices.SortStableFunc(ordered, func(a, b Place) int {
		return distance(a, centre) - distance(b, centre)
	})
	return ordered
}

func distance(place Place, centre string) int {
	if place.Centre == centre {
		return 0
	}
	return 1
}

// Leads returns the crew member that leads each endpoint, by the endpoint's name.
func Leads(endpoints, crew []Place) map[string]string {
	leads := make(map[string]string, len(endpoints))
	if len(crew) == 0 {
		return leads
	}
	byCentre := map[string][]Place{}
	for _, endpoint := range endpoints {
		byCentre[endpoint.Centre] = append(byCentre[endpoint.Centre], endpoint)
	}
	for centre, group := range byCentre {
		near := slices.DeleteFunc(slices.Clone(crew), func(member Place) bool {
			return member.Centre != centre
		})
		if len(near) == 0 {
			near = crew
		}
		assign(leads, group, near)
	}
	return leads
}

func assign(leads map[string]string, endpoints, members []Place) {
	bound := (len(endpoints) + len(members) - 1) / len(members)
	load := map[string]int{}
	sorted := slices.Clone(endpoints)
	slices.SortFunc(sorted, func(a, b Place) int {
		return strings.Compare(a.Name, b.Name)
	})
	for _, endpoint := range sorted {
		for _, member := range rank(endpoint.Name, members) {
			if load[member.Name] < bound {
				load[member.Name]++
				leads[endpoint.Name] = member.Name
				break
			}
		}
	}
}

func rank(key string, candidates []Place) []Place {
	type ranked struct {
		place Place
		hash  uint64
	}
	list := make([]ranked, 0, len(candidates))
	for _, candidate := range candidates {
		list = append(list, ranked{
			place: candidate,
			hash:  xxhash.Sum64String(key + "\x00" + candidate.Name),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash > b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.place.Name, b.place.Name)
	})
	places := make([]Place, len(list))
	for i, entry := range list {
		places[i] = entry.place
	}
	return places
}
