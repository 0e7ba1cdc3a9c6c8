package mtroute

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func testTable() *Table {
	return NewTable(3, nil, Limits{}, []*Route{
		{Name: "menu", Host: "a.example", Prefix: "/menu/"},
		{Name: "diet", Host: "a.example", Prefix: "/menu/diet/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	})
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	for target, name := range map[string]string{
		"/menu/1":          "menu",
		"/menu/diet/1":     "diet",
		"/menu/diet":       "menu",
		"/menu/?x=/diet/1": "menu",
		"/menu":            "",
		"/":                "",
	} {
		found := testTable().Find("a.example", target)
		if name == "" {
			require.Nil(t, found, target)
			continue
		}
		require.NotNil(t, found, target)
		require.Equal(t, name, found.Name, target)
	}
	require.Equal(t, "menu", testTable().Find("A.Example:8080", "/menu/1").Name)
	require.Nil(t, testTable().Find("c.example", "/menu/1"))
}

func TestSplitFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1, 100), 2, 5).Draw(t, "weights")
		route := &Route{}
		sum := 0.0
		for i, weight := range weights {
			sum += weight
			route.Parts = append(route.Parts, WeightedService{
				Service: string(rune('a' + i)),
				Weight:  weight,
			})
		}
		counts := map[string]float64{}
		const requests = 300
		for range requests {
			counts[route.PickService()]++
		}
		for _, part := range route.Parts {
			// The requirement is 0.1; the sequence stays well below that.
			if deviation := counts[part.Service]/requests - part.Weight/sum; deviation > 0.03 || deviation < -0.03 {
				t.Fatalf("the fraction of service %s deviates from its weight by %f", part.Service, deviation)
			}
		}
	})
}

// A configuration with a very large number of attempts ended all processes, which reserve memory for each.
func TestAttemptsOfRoutesAreBounded(t *testing.T) {
	table := NewTable(1, nil, Limits{}, []*Route{
		{Host: "a.example", Prefix: "/huge/", Attempts: 1_000_000_000},
		{Host: "a.example", Prefix: "/usual/", Attempts: 3},
	})
	require.Equal(t, MaxAttempts, table.Find("a.example", "/huge/1").Attempts)
	require.Equal(t, 3, table.Find("a.example", "/usual/1").Attempts)
}

// With the largest number as the limit of bodies, one byte more overflowed, and requests were passed on without their body.
func TestLimitsOfConfigurationAreBounded(t *testing.T) {
	table := NewTable(1, nil, Limits{
		Header: math.MaxInt,
		Body:   math.MaxInt64,
	}, nil)
	require.Equal(t, maxHeaderBytes, table.Limits.Header)
	require.EqualValues(t, maxBodyBytes, table.Limits.Body)
}
