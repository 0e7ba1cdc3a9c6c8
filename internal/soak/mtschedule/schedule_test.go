package mtschedule

import (
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
	require.Len(t, drawn, len(boundsByKind), "an hour draws each kind of event")
}
