package mtgateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtroute"
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
	told := map[string]bool{}
	for range 200 {
		for _, mark := range gateway.Marks(now) {
			told[mark.GetEndpoint()] = true
		}
	}
	require.Len(t, told, 3*marksMost, "each has its turn")
}

// plain is an exchange without headers.
type plain struct{}

func (plain) ReadCall(http.Header) (string, time.Duration)           { return "1", time.Minute }
func (plain) MarkCall(http.Header, string, time.Duration)            {}
func (plain) ReadAnswer(int, http.Header) (stated mtexchange.Stated) { return stated }

// The endpoint said that it leaves after it was chosen and before the request was sent.
func TestRequestIsWithdrawnFromAnEndpointThatLeaves(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	gateway := newTestGateway()
	gateway.meter = newMeter()
	gateway.exchange = plain{}
	a := newTestAttempt(&mtroute.Route{Name: "r"})
	a.gateway = gateway
	a.service = "menu"
	a.end = time.Now().Add(time.Second)
	a.call.Request = &http.Request{Method: http.MethodPost, RequestURI: "/", Header: http.Header{}}
	target := &mtplacer.Target{ID: "e", Address: listener.Addr().String(), Draining: true}
	found := a.send(context.Background(), mtplacer.Grant{Target: target})
	require.ErrorIs(t, found.err, mtupstream.ErrWithdrawn)
	require.Equal(t, mtupstream.Unsent, found.fate)
	require.False(t, target.IsEjected(time.Now()), "the endpoint has not failed")
}
