// What endpoints say of themselves in their answers, beside their entries in the store: that they leave, and that they want no
// requests for a time. It holds here from the answer on, and travels to the other instances with the rows.

package mtgateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// marksMost is the most marks in one message; they have some 30 bytes each, and an instance with a role sends them to all.
	marksMost = 16
	// restSpread is the part of a rest that is added at random, so that instances do not come back at the same moment.
	restSpread = 0.25
	// grantLife is the age beyond which a grant is no longer acted upon: this process was paused since.
	grantLife = 2 * time.Second
)

// heard takes in what an endpoint states with an answer.
func (g *Gateway) heard(target *mtplacer.Target, stated mtexchange.Stated) {
	isOther := stated.Moved || stated.Instance != "" && stated.Instance != target.ID
	if isOther || !stated.Leaving && stated.Rest == 0 && stated.RestUnread == "" {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	// An endpoint that leaves says so with each of its answers.
	isNews := stated.Rest > 0 || !target.Draining
	if stated.Leaving {
		g.leaves(mtregistry.Mark{
			ID:   target.ID,
			Born: target.Born,
		}, false, now)
		// The registry may know a later process of the endpoint; this one leaves all the same.
		target.Draining = true
	}
	if stated.Rest > 0 {
		target.Rest(spreadRest(stated.Rest), now)
		g.journal.log(mtevent.EndpointRests, failure, logrus.Fields{
			"endpoint": target.ID,
			"rest":     stated.Rest.Milliseconds(),
		})
	}
	if stated.RestUnread != "" && !g.unreadRests[target.ID] {
		g.unreadRests[target.ID] = true
		mtevent.RestUnread.Log(g.logger, logrus.Fields{
			"endpoint": target.ID,
			"text":     shortened(stated.RestUnread),
		})
	}
	if isNews {
		g.pumpAll(now)
	}
}

// spreadRest lengthens a rest at random.
func spreadRest(rest time.Duration) time.Duration {
	return rest + time.Duration(restSpread*rand.Float64()*float64(rest))
}

// textMost is the number of bytes of a text from outside that a log line quotes.
const textMost = 64

func shortened(text string) string {
	if len(text) > textMost {
		return text[:textMost]
	}
	return text
}

// leaves takes in that an endpoint has said that it leaves, to this instance or to another one; the mutex is held.
func (g *Gateway) leaves(mark mtregistry.Mark, hearsay bool, now time.Time) {
	if !g.registry.Leave(mark, now) {
		return
	}
	target := g.targets[mark.ID]
	if target == nil || target.Born != mark.Born || target.Draining {
		return
	}
	target.Draining = true
	g.pool.Drop(target.Address)
	mtevent.EndpointLeaves.Log(g.logger, logrus.Fields{
		"endpoint": mark.ID,
		"hearsay":  hearsay,
	})
}

// isGranted reports whether a grant may still be acted upon.
func (g *Gateway) isGranted(grant mtplacer.Grant, granted, now time.Time) bool {
	// The time of day goes on while the process or its machine is suspended; the steady clock may not.
	if now.Round(0).Sub(granted.Round(0)) > grantLife {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return grant.Target.IsOpen(now)
}

// Marks returns what this instance knows of endpoints that leave or rest.
func (g *Gateway) Marks(now time.Time) []*peerv1.Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	var marks []*peerv1.Mark
	known := g.registry.Marks()
	// Each message has others, so that all are told in the end.
	rand.Shuffle(len(known), func(i, j int) {
		known[i], known[j] = known[j], known[i]
	})
	for _, mark := range known[:min(len(known), marksMost)] {
		marks = append(marks, &peerv1.Mark{
			Endpoint: mark.ID,
			Born:     mark.Born,
		})
	}
	for _, target := range g.targets {
		if len(marks) == marksMost {
			break
		}
		if rest := target.RestLeft(now); rest > 0 {
			marks = append(marks, &peerv1.Mark{
				Endpoint: target.ID,
				Born:     target.Born,
				Rest:     uint64(rest.Milliseconds()) + 1,
			})
		}
	}
	return marks
}

// Marked takes in what another instance knows of endpoints that leave or rest.
func (g *Gateway) Marked(marks []*peerv1.Mark, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, mark := range marks {
		if mark.GetRest() == 0 {
			g.leaves(mtregistry.Mark{
				ID:   mark.GetEndpoint(),
				Born: mark.GetBorn(),
			}, true, now)
			continue
		}
		if target := g.targets[mark.GetEndpoint()]; target != nil && target.Born == mark.GetBorn() {
			target.RestAsOthers(time.Duration(min(mark.GetRest(), math.MaxInt32))*time.Millisecond, now)
		}
	}
	g.pumpAll(now)
}

func (g *Gateway) forgetMarks(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.ForgetMarks(now)
}
