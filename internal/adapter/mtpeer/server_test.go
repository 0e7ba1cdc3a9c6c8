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

// silent answers everything with nothing.
type silent struct{}

func (silent) Receive(*peerv1.Gossip, time.Time) *peerv1.Gossip { return &peerv1.Gossip{} }
func (silent) Since(uint64) *recordv1.Snapshot                  { return &recordv1.Snapshot{} }
func (silent) IsHome(ticket mtticket.Ticket) bool               { return ticket.Instance == "entry-1" }
func (silent) Lookup(string, string, uint64) mtoutcome.Outcome  { return mtoutcome.Answered }
func (silent) Settle(string, string, mtticket.Ticket, time.Time) (mtoutcome.Outcome, error) {
	return mtoutcome.NotRun, nil
}

func client(t *testing.T, secret, token string) (peerv1.PeerService, context.Context) {
	server := httptest.NewServer(mtpeer.NewServer(silent{}, silent{}, silent{}).Handler(secret))
	t.Cleanup(server.Close)
	header := http.Header{}
	mtauth.SetBearer(header, token)
	ctx, err := twirp.WithHTTPRequestHeaders(t.Context(), header)
	require.NoError(t, err)
	return peerv1.NewPeerServiceProtobufClient(server.URL, http.DefaultClient), ctx
}

func TestOnlyTheHolderOfTheSecretIsAPeer(t *testing.T) {
	for _, one := range []struct{ secret, token string }{{"secret", "other"}, {"", ""}, {"", "x"}} {
		peer, ctx := client(t, one.secret, one.token)
		_, err := peer.Exchange(ctx, &peerv1.Gossip{})
		var failure twirp.Error
		require.ErrorAs(t, err, &failure)
		require.Equal(t, twirp.Unauthenticated, failure.Code())
	}
	peer, ctx := client(t, "secret", "secret")
	_, err := peer.Exchange(ctx, &peerv1.Gossip{})
	require.NoError(t, err)
}

func TestHomeAnswersOnlyForItsOwnTickets(t *testing.T) {
	peer, ctx := client(t, "secret", "secret")
	own, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: "entry-1.1.7fffffff-a"})
	require.NoError(t, err)
	require.Equal(t, "notrun", own.GetOutcome())
	for _, key := range []string{"entry-2.1.7fffffff-a", "no ticket", "entry-1.zz.1-a"} {
		_, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: key})
		require.Error(t, err, key)
	}
	claimed, err := peer.Settle(ctx, &peerv1.SettleRequest{Key: "no ticket", Incarnation: 7})
	require.NoError(t, err)
	require.Equal(t, "answered", claimed.GetOutcome())
}
