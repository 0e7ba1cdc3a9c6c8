package mtassignment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtassignment"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeCluster is a fixed set of rows with their states, and the names of the instances with a leaving mark.
type fakeCluster struct {
	rows         []*peerv1.Row
	states       map[string]string
	leavingMarks []string
}

func (f *fakeCluster) RowsInStates(_ time.Time, states ...string) []*peerv1.Row {
	var live []*peerv1.Row
	for _, row := range f.rows {
		for _, state := range states {
			if f.states[row.GetInstance()] == state {
				live = append(live, row)
			}
		}
	}
	return live
}

func (f *fakeCluster) Rows() []*peerv1.Row { return f.rows }

func (f *fakeCluster) Rules() *mtrules.Rules {
	snapshot := &recordv1.Snapshot{}
	for _, name := range f.leavingMarks {
		snapshot.Versions = append(snapshot.Versions, &recordv1.Version{
			Record: &recordv1.Record{Body: &recordv1.Record_Mark{Mark: &recordv1.Mark{Instance: name, Leaving: true}}},
		})
	}
	return mtrules.NewRules(snapshot)
}

func newFakeCluster(size int) *fakeCluster {
	f := &fakeCluster{states: map[string]string{}}
	for i := range size {
		row := &peerv1.Row{
			Instance: fmt.Sprint("entry-", i),
			Centre:   []string{"a", "b", "c"}[i%3],
			Ready:    true,
		}
		f.rows = append(f.rows, row)
		f.states[row.GetInstance()] = mtmembership.Alive
	}
	return f
}

func names(places []mtrendezvous.Node) []string {
	var result []string
	for _, place := range places {
		result = append(result, place.Name)
	}
	return result
}

// When an instance is suspected, marked or leaving, only that instance is replaced; the others stay assigned.
func TestOneInstancePerCentreIsAssignedAndOnlyUnavailableOnesAreReplaced(t *testing.T) {
	f := newFakeCluster(18)
	assigner := mtassignment.NewAssigner(f, f)
	before := assigner.AssignedInstances("a.v1.S", now)
	require.Len(t, before, 3)
	unavailable := before[1]
	for _, makeUnavailable := range []func(){
		func() { f.states[unavailable.Name] = mtmembership.Suspect },
		func() { f.states[unavailable.Name], f.leavingMarks = mtmembership.Alive, []string{unavailable.Name} },
		func() { f.states[unavailable.Name], f.leavingMarks = mtmembership.Leaving, nil },
	} {
		makeUnavailable()
		after := assigner.AssignedInstances("a.v1.S", now)
		require.Len(t, after, 3)
		require.NotContains(t, names(after), unavailable.Name)
		require.Contains(t, names(after), before[0].Name)
		require.Contains(t, names(after), before[2].Name)
	}
}

func TestUnreadyInstancesAreNeverAssignedAndSuspectedOnesOnlyAsFallback(t *testing.T) {
	f := newFakeCluster(3)
	f.rows[0].Ready = false
	assigner := mtassignment.NewAssigner(f, f)
	require.NotContains(t, names(assigner.AssignedInstances("a.v1.S", now)), "entry-0")
	f.states["entry-1"], f.states["entry-2"] = mtmembership.Suspect, mtmembership.Suspect
	require.ElementsMatch(t, []string{"entry-1", "entry-2"}, names(assigner.AssignedInstances("a.v1.S", now)))
}

func TestLeadsAreEvenlySpreadWithinTheirDataCentre(t *testing.T) {
	var endpoints, assigned []mtrendezvous.Node
	for i := range 30 {
		endpoints = append(endpoints, mtrendezvous.Node{
			Name:   fmt.Sprint("endpoint-", i),
			Centre: []string{"a", "b", "c"}[i%3],
		})
	}
	for i := range 6 {
		assigned = append(assigned, mtrendezvous.Node{
			Name:   fmt.Sprint("entry-", i),
			Centre: []string{"a", "b", "c"}[i%3],
		})
	}
	endpointsPerLead := map[string]int{}
	for endpoint, lead := range mtrendezvous.ChooseLeads(endpoints, assigned) {
		endpointsPerLead[lead]++
		require.Equal(t, numberIn(endpoint)%3, numberIn(lead)%3)
	}
	for _, count := range endpointsPerLead {
		require.Equal(t, 5, count)
	}
	require.Empty(t, mtrendezvous.ChooseLeads(endpoints, nil))
}

// numberIn returns the number that the digits of a name form.
func numberIn(name string) int {
	value := 0
	for _, digit := range name {
		if digit >= '0' && digit <= '9' {
			value = 10*value + int(digit-'0')
		}
	}
	return value
}
