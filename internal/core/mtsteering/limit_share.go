package mtsteering

import (
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
)

// maxLimitShares bounds the number of instances that share the request limit of one endpoint: each may send one request
// at any time, and all together no more than a few.
const maxLimitShares = 4

// LimitSharing is what the shares of request limits follow from; all instances with the same view compute the same shares.
type LimitSharing struct {
	// Instance is the name of this instance.
	Instance  string
	Receivers []Candidate
	Fleet     FleetCounts
}

// ShareOf returns the fraction, from 0 to 1, of the request limit of an endpoint that this instance may use.
//
// Only receivers have a share, because callers are sent to them. In a partition each side uses only the fraction of the
// limit that corresponds to its part of the fleet, since it can't know what the other side does.
func (s LimitSharing) ShareOf(endpoint string) float64 {
	nodes := make([]mtrendezvous.Node, 0, len(s.Receivers))
	for _, receiver := range s.Receivers {
		nodes = append(nodes, mtrendezvous.Node{
			Name: receiver.Name,
		})
	}
	holders := mtrendezvous.ServingInstances(endpoint, nodes, maxLimitShares)
	for _, holder := range holders {
		if holder.Name == s.Instance {
			return s.Fleet.reachableFraction() / float64(len(holders))
		}
	}
	return 0
}
