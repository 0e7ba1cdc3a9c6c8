// The load pattern: an endpoint that takes a few requests a second while it is cold, and hundreds of instances that start at once,
// are partitioned, or die. Each holder of a share may have saved one request, so the number of holders is bounded as well as
// the sum of the shares.

package mtsteering

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
)

const (
	// settlingAge is the age up to which an instance may not know the fleet yet, and settlingTime the time without a new
	// instance after which it does: when all start, each knows only itself at first.
	settlingAge  = 10 * time.Second
	settlingTime = time.Second
	// firstTokenTime is the time within which a holder's first request must be due; it bounds the holders of a low rate.
	firstTokenTime = 2 * time.Second
)

// WarmUpSharing is what the shares of the rates of cold endpoints follow from; all instances with the same view compute the same
// shares.
type WarmUpSharing struct {
	LimitSharing
	// Started is when this instance started, and GrownAt when it last discovered another one.
	Started time.Time
	GrownAt time.Time
	// Overage and Slack bound the requests of all instances in each second: rate x Overage + Slack.
	Overage float64
	Slack   float64
}

// ShareOf returns the fraction, from 0 to 1, of the rate of a cold endpoint that this instance may use; rate is in requests per
// second of all instances together.
//
// Each side of a partition has at most its part of the holders, rounded down, so that all sides together have no more than
// Slack and the overage allow.
func (s WarmUpSharing) ShareOf(endpoint string, rate float64, now time.Time) float64 {
	isSettling := now.Sub(s.Started) < settlingAge
	if isSettling && now.Sub(s.GrownAt) < settlingTime {
		return 0
	}
	reachable := s.Fleet.reachableFraction()
	byRate := max(1, int(min(rate*firstTokenTime.Seconds(), maxLimitShares)))
	count := min(s.maxHolders(rate, reachable), byRate, len(s.Receivers))
	if count < 1 {
		return 0
	}
	nodes := make([]mtrendezvous.Node, 0, len(s.Receivers))
	for _, receiver := range s.Receivers {
		nodes = append(nodes, mtrendezvous.Node{
			Name: receiver.Name,
		})
	}
	holders := mtrendezvous.ServingInstances(endpoint, nodes, count)[:count]
	for _, holder := range holders {
		if holder.Name != s.Instance {
			continue
		}
		if isSettling {
			count = max(count, maxLimitShares)
		}
		return reachable / float64(count)
	}
	return 0
}

// maxHolders returns how many instances that reach a fraction of the fleet may hold a share. A side with more than half of the
// fleet has one in any case: there is only one such side, and a dead instance must not leave cold endpoints without requests.
func (s WarmUpSharing) maxHolders(rate, reachable float64) int {
	all := s.Slack + max(0, s.Overage-1)*rate
	// Without a margin, 8 x 1/8 might be rounded down to 0.
	own := int(min(reachable*all+1e-9, maxLimitShares))
	if reachable > 0.5 {
		return max(1, own)
	}
	return own
}
