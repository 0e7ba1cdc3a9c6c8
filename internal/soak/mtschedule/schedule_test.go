package mtschedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSameSeedGivesTheSameSchedule(t *testing.T) {
	shape := Shape{
		Length:    time.Hour,
		Instances: 4,
		Endpoints: 6,
		Gap:       time.Second,
	}
	events := NewSchedule(7, shape)
	require.Equal(t, events, NewSchedule(7, shape))
	require.NotEqual(t, events, NewSchedule(8, shape))
	drawn := map[Kind]bool{}
	for _, event := range events {
		drawn[event.Kind] = true
	}
	require.Len(t, drawn, len(spans), "an hour draws each kind of fault")
}
