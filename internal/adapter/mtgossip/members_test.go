package mtgossip_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtgossip"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtreplica"
)

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func TestInstanceThatRefusesTheConnectionBecomesSuspectAtOnce(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	now := time.Now()
	view := mtmembership.NewView(&peerv1.Row{Instance: "entry-1", Incarnation: 1})
	members := mtgossip.NewMembership(view, mtreplica.NewReplica(), nil, "secret", logger)
	members.Receive(&peerv1.Gossip{Rows: []*peerv1.Row{{
		Instance:    "entry-2",
		Incarnation: 2,
		Heartbeat:   1,
		Control:     freeAddress(t),
	}}}, now)
	state, _ := members.InstanceState("entry-2", now)
	require.Equal(t, mtmembership.Alive, state)
	members.ExchangeWithPeers(t.Context(), now)
	state, _ = members.InstanceState("entry-2", time.Now())
	require.Equal(t, mtmembership.Suspect, state)
}
