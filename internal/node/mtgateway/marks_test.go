package mtgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// A process that was paused between the choice of an endpoint and the sending must choose again, also where the steady clock stood
// still meanwhile.
func TestGrantLapsesWhileTheProcessIsPaused(t *testing.T) {
	gateway := newTestGateway()
	now := time.Now()
	grant := mtplacer.Grant{Target: &mtplacer.Target{ID: "e"}}
	require.True(t, gateway.isGranted(grant, now, now.Add(grantLife)))
	require.False(t, gateway.isGranted(grant, now, now.Add(grantLife+time.Millisecond)))
	// Without its steady reading, as after a suspension that only the time of day has counted.
	require.False(t, gateway.isGranted(grant, now.Round(0), now.Round(0).Add(time.Minute)))
}

func TestGrantLapsesWhenTheEndpointLeavesOrRests(t *testing.T) {
	gateway := newTestGateway()
	now := time.Now()
	for name, says := range map[string]mtexchange.Stated{
		"leaves": {Leaving: true},
		"rests":  {Rest: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			grant := mtplacer.Grant{Target: &mtplacer.Target{ID: name}}
			require.True(t, gateway.isGranted(grant, now, now))
			other := says
			other.Instance = "another"
			gateway.heard(grant.Target, other)
			require.True(t, gateway.isGranted(grant, now, now), "another endpoint at the address said so")
			gateway.heard(grant.Target, says)
			require.False(t, gateway.isGranted(grant, now, now))
		})
	}
}

func TestMarksOfAMessageAreBounded(t *testing.T) {
	gateway := newTestGateway()
	now := time.Now()
	var marks []*peerv1.Mark
	for number := range 3 * marksMost {
		id := string(rune('a' + number))
		gateway.registry.Put(mtregistry.Entry{ID: id}, now)
		marks = append(marks, &peerv1.Mark{Endpoint: id})
	}
	gateway.Marked(marks, now)
	require.Len(t, gateway.Marks(now), marksMost)
}
