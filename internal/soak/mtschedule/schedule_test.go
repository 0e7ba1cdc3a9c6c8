package mtschedule

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	parameters := Parameters{
		Duration:     time.Hour,
		Instances:    4,
		Endpoints:    6,
		MeanInterval: time.Second,
	}
	events := NewSchedule(7, parameters)
	require.Equal(t, events, NewSchedule(7, parameters))
	require.NotEqual(t, events, NewSchedule(8, parameters))
	drawn := map[Kind]bool{}
	for _, event := range events {
		drawn[event.Kind] = true
	}
	require.True(t, drawn[StoreRestore])
	require.True(t, drawn[EndpointLimit])
	require.Len(t, drawn, len(boundsByKind)+2, "an hour draws each kind of event, restores of the store and limits")
}

// Seeds that have found a fault must go on to draw the events with which they found it.
func TestRestoresAndLimitsLeaveOtherEventsOfASeedAlone(t *testing.T) {
	parameters := Parameters{
		Duration:     time.Hour,
		Instances:    4,
		Endpoints:    6,
		MeanInterval: time.Second,
	}
	events := slices.DeleteFunc(NewSchedule(7, parameters), func(event Event) bool {
		return event.Kind == StoreRestore || event.Kind == EndpointLimit
	})
	require.Equal(t, drawEvents(7, parameters), events)
}
