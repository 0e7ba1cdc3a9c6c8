package mtpeer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtpeer"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// stubTables implements the tables of an instance with fixed results.
type stubTables struct{}

func (stubTables) Receive(*peerv1.Gossip, time.Time) *peerv1.Gossip { return &peerv1.Gossip{} }
func (stubTables) SnapshotSince(uint64) *recordv1.Snapshot          { return &recordv1.Snapshot{} }
func (stubTables) Owns(ticket mtticket.Ticket) bool                 { return ticket.Instance == "entry-1" }
func (stubTables) Lookup(string, string, uint64) mtoutcome.Outcome  { return mtoutcome.Answered }
func (stubTables) OutcomeOrClose(string, string, mtticket.Ticket, time.Time) (mtoutcome.Outcome, error) {
	return mtoutcome.NotRun, nil
}

// newClient returns a client that sends token to a server with the given secret.
func newClient(t *testing.T, secret, token string) (peerv1.PeerService, context.Context) {
	server := httptest.NewServer(mtpeer.NewServer(stubTables{}, stubTables{}, stubTables{}).Handler(secret))
	t.Cleanup(server.Close)
	header := http.Header{}
	mtauth.SetBearerToken(header, token)
	ctx, err := twirp.WithHTTPRequestHeaders(t.Context(), header)
	require.NoError(t, err)
	return peerv1.NewPeerServiceProtobufClient(server.URL, http.DefaultClient), ctx
}

func TestRequestsWithoutTheSecretAreUnauthenticated(t *testing.T) {
	for _, credentials := range []struct{ secret, token string }{{"secret", "other"}, {"", ""}, {"", "x"}} {
		peer, ctx := newClient(t, credentials.secret, credentials.token)
		_, err := peer.Exchange(ctx, &peerv1.Gossip{})
		var failure twirp.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, twirp.Unauthenticated, failure.Code())
	}
	peer, ctx := newClient(t, "secret", "secret")
	_, err := peer.Exchange(ctx, &peerv1.Gossip{})
	require.NoError(t, err)
}

func TestSettleAcceptsOnlyOwnTicketsAndClaims(t *testing.T) {
	peer, ctx := newClient(t, "secret", "secret")
	issued, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: "entry-1.1.7fffffff-a"})
	require.NoError(t, err)
	require.Equal(t, "notrun", issued.GetOutcome())
	for _, key := range []string{"entry-2.1.7fffffff-a", "no ticket", "entry-1.zz.1-a"} {
		_, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: key})
		require.Error(t, err, key)
	}
	claimed, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: "no ticket", Incarnation: 7})
	require.NoError(t, err)
	require.Equal(t, "answered", claimed.GetOutcome())
}
