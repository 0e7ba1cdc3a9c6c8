package mtassignment

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// instancesPerCentre is the number of entry instances in each data centre that are assigned to a service.
const instancesPerCentre = 1

// ruleSource returns the rules in force, which include the leaving marks.
type ruleSource interface {
	Rules() *mtrules.Rules
}

// memberView returns the rows of the entry instances.
type memberView interface {
	RowsInStates(now time.Time, states ...string) []*peerv1.Row
	Rows() []*peerv1.Row
}

// Assigner assigns entry instances to services. It is safe for concurrent use.
type Assigner struct {
	rules   ruleSource
	members memberView
}

// NewAssigner returns an Assigner that reads the present rules and members on each call.
func NewAssigner(rules ruleSource, members memberView) *Assigner {
	return &Assigner{
		rules:   rules,
		members: members,
	}
}

// AssignedInstances returns the entry instances that are assigned to a service.
func (a *Assigner) AssignedInstances(service string, now time.Time) []mtrendezvous.Node {
	return a.SnapshotAt(now)(service)
}

// SnapshotAt returns a function that assigns any number of services from one reading of the members.
//
// Suspected instances are assigned only if no alive instance is a candidate.
func (a *Assigner) SnapshotAt(now time.Time) func(service string) []mtrendezvous.Node {
	candidates := a.candidates(now, mtmembership.Alive)
	if len(candidates) == 0 {
		candidates = a.candidates(now, mtmembership.Alive, mtmembership.Suspect)
	}
	return func(service string) []mtrendezvous.Node {
		return mtrendezvous.ServingInstances(service, candidates, instancesPerCentre)
	}
}

// candidates returns the instances in one of the states that are ready and have no leaving mark.
func (a *Assigner) candidates(now time.Time, states ...string) []mtrendezvous.Node {
	rules := a.rules.Rules()
	var candidates []mtrendezvous.Node
	for _, row := range a.members.RowsInStates(now, states...) {
		if row.GetReady() && !rules.IsLeaving(row.GetInstance()) {
			candidates = append(candidates, mtrendezvous.Node{
				Name:   row.GetInstance(),
				Centre: row.GetCentre(),
			})
		}
	}
	return candidates
}

// Row returns the membership row of an instance, or nil if the instance is unknown.
func (a *Assigner) Row(instance string) *peerv1.Row {
	for _, row := range a.members.Rows() {
		if row.GetInstance() == instance {
			return row
		}
	}
	return nil
}
