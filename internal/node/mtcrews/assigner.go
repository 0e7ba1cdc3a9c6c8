package mtcrews

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// perCentre is the number of crew members in each data centre.
const perCentre = 1

// rules gives the marks.
type rules interface {
	Rules() *mtrules.Rules
}

// members is the view of all entry instances.
type members interface {
	Live(now time.Time, states ...string) []*peerv1.Row
	Known() []*peerv1.Row
}

// Crews answers who carries a service; it is safe for use by many goroutines.
type Crews struct {
	rules   rules
	members members
}

// NewCrews returns the crews that follow from rules and members.
func NewCrews(rules rules, members members) *Crews {
	return &Crews{
		rules:   rules,
		members: members,
	}
}

// Crew returns the entry instances that carry a service.
func (c *Crews) Crew(service string, now time.Time) []mtcrew.Place {
	return c.At(now)(service)
}

// At returns a function for the crews of many services at one moment, which looks at the members only once.
//
// Instances that are suspected serve only when no other is left.
func (c *Crews) At(now time.Time) func(service string) []mtcrew.Place {
	candidates := c.candidates(now, mtmember.Alive)
	if len(candidates) == 0 {
		candidates = c.candidates(now, mtmember.Alive, mtmember.Suspect)
	}
	return func(service string) []mtcrew.Place {
		return mtcrew.Members(service, candidates, perCentre)
	}
}

func (c *Crews) candidates(now time.Time, states ...string) []mtcrew.Place {
	rules := c.rules.Rules()
	var places []mtcrew.Place
	for _, row := range c.members.Live(now, states...) {
		if row.GetReady() && !rules.IsLeaving(row.GetInstance()) {
			places = append(places, mtcrew.Place{
				Name:   row.GetInstance(),
				Centre: row.GetCentre(),
			})
		}
	}
	return places
}

// Row returns the row of an instance, or nil.
func (c *Crews) Row(instance string) *peerv1.Row {
	for _, row := range c.members.Known() {
		if row.GetInstance() == instance {
			return row
		}
	}
	return nil
}
