package mtcrews_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtcrews"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixed is a set of rows with their states, and the marks in force.
type fixed struct {
	rows   []*peerv1.Row
	states map[string]string
	marked []string
}

func (f *fixed) Live(_ time.Time, states ...string) []*peerv1.Row {
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

func (f *fixed) Known() []*peerv1.Row { return f.rows }

func (f *fixed) Rules() *mtrules.Rules {
	snapshot := &recordv1.Snapshot{}
	for _, name := range f.marked {
		snapshot.Versions = append(snapshot.Versions, &recordv1.Version{
			Record: &recordv1.Record{Body: &recordv1.Record_Mark{Mark: &recordv1.Mark{Instance: name, Leaving: true}}},
		})
	}
	return mtrules.NewRules(snapshot)
}

func newFixed(size int) *fixed {
	f := &fixed{states: map[string]string{}}
	for i := range size {
		row := &peerv1.Row{
			Instance: fmt.Sprint("entry-", i),
			Centre:   []string{"a", "b", "c"}[i%3],
			Ready:    true,
		}
		f.rows = append(f.rows, row)
		f.states[row.GetInstance()] = mtmember.Alive
	}
	return f
}

func names(places []mtcrew.Place) []string {
	var result []string
	for _, place := range places {
		result = append(result, place.Name)
	}
	return result
}

func TestCrewHasOneMemberOfEachDataCentreAndOnlyLosesWhoIsGone(t *testing.T) {
	f := newFixed(18)
	crews := mtcrews.NewCrews(f, f)
	before := crews.Crew("a.v1.S", now)
	require.Len(t, before, 3)
	gone := before[1]
	for _, leave := range []func(){
		func() { f.states[gone.Name] = mtmember.Suspect },
		func() { f.states[gone.Name], f.marked = mtmember.Alive, []string{gone.Name} },
		func() { f.states[gone.Name], f.marked = mtmember.Leaving, nil },
	} {
		leave()
		after := crews.Crew("a.v1.S", now)
		require.Len(t, after, 3)
		require.NotContains(t, names(after), gone.Name)
		require.Contains(t, names(after), before[0].Name)
		require.Contains(t, names(after), before[2].Name)
	}
}

func TestInstanceWithoutStateIsInNoCrewAndSuspectsServeWhenNoOtherIsLeft(t *testing.T) {
	f := newFixed(3)
	f.rows[0].Ready = false
	crews := mtcrews.NewCrews(f, f)
	require.NotContains(t, names(crews.Crew("a.v1.S", now)), "entry-0")
	f.states["entry-1"], f.states["entry-2"] = mtmember.Suspect, mtmember.Suspect
	require.ElementsMatch(t, []string{"entry-1", "entry-2"}, names(crews.Crew("a.v1.S", now)))
}

func TestLeadsAreEvenAndStayInTheirDataCentre(t *testing.T) {
	var endpoints, crew []mtcrew.Place
	for i := range 30 {
		endpoints = append(endpoints, mtcrew.Place{Name: fmt.Sprint("endpoint-", i), Centre: []string{"a", "b", "c"}[i%3]})
	}
	for i := range 6 {
		crew = append(crew, mtcrew.Place{Name: fmt.Sprint("entry-", i), Centre: []string{"a", "b", "c"}[i%3]})
	}
	load := map[string]int{}
	for endpoint, lead := range mtcrew.Leads(endpoints, crew) {
		load[lead]++
		require.Equal(t, number(endpoint)%3, number(lead)%3)
	}
	for _, count := range load {
		require.Equal(t, 5, count)
	}
	require.Empty(t, mtcrew.Leads(endpoints, nil))
}

func number(name string) int {
	value := 0
	for _, digit := range name {
		if digit >= '0' && digit <= '9' {
			value = 10*value + int(digit-'0')
		}
	}
	return value
}
