package mtpeer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// maxMessageBytes bounds a message of a peer.
const maxMessageBytes = 1 << 20

// gossipReceiver merges the gossip of a peer and returns the gossip for it.
type gossipReceiver interface {
	Receive(message *peerv1.Gossip, now time.Time) *peerv1.Gossip
}

// recordSource returns the records that this instance has applied.
type recordSource interface {
	SnapshotSince(offset uint64) *recordv1.Snapshot
}

// keyTable returns the outcomes of the keys of this incarnation.
type keyTable interface {
	Owns(ticket mtticket.Ticket) bool
	OutcomeOrClose(team, key string, ticket mtticket.Ticket, now time.Time) (mtoutcome.Outcome, error)
	Lookup(team, key string, incarnation uint64) mtoutcome.Outcome
}

// Server implements the PeerService.
type Server struct {
	gossip  gossipReceiver
	records recordSource
	keys    keyTable
}

// NewServer returns a server of the gossip, the applied records and the keys of this instance.
func NewServer(gossip gossipReceiver, records recordSource, keys keyTable) *Server {
	return &Server{
		gossip:  gossip,
		records: records,
		keys:    keys,
	}
}

// Handler returns the HTTP handler. It rejects requests without the peers' shared secret, and all requests if secret
// is empty.
func (s *Server) Handler(secret string) http.Handler {
	service := peerv1.NewPeerServiceServer(s)
	allowedHashes := []string{mtrules.HashToken(secret)}
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if secret == "" || !mtauth.HasAllowedToken(request.Header, allowedHashes) {
			_ = twirp.WriteError(response,
				twirp.Unauthenticated.Error("header Authorization: expected the peers' secret"))
			return
		}
		request.Body = http.MaxBytesReader(response, request.Body, maxMessageBytes)
		service.ServeHTTP(response, request)
	})
}

// Exchange merges the gossip of a peer and returns the gossip of this instance.
func (s *Server) Exchange(_ context.Context, message *peerv1.Gossip) (*peerv1.Gossip, error) {
	return s.gossip.Receive(message, time.Now()), nil
}

// Catchup returns the present versions of the records that changed since an offset.
func (s *Server) Catchup(_ context.Context, request *peerv1.CatchupRequest) (*peerv1.CatchupResponse, error) {
	return &peerv1.CatchupResponse{
		Snapshot: s.records.SnapshotSince(request.GetApplied()),
	}, nil
}

// Settle returns the outcome of a key of this incarnation, and closes a key of its tickets that was never seen. An
// incarnation in the request marks a key that was claimed in the log instead.
func (s *Server) Settle(_ context.Context, request *peerv1.SettleRequest) (*peerv1.SettleResponse, error) {
	if incarnation := request.GetIncarnation(); incarnation != 0 {
		return &peerv1.SettleResponse{
			Outcome: string(s.keys.Lookup(request.GetTeam(), request.GetKey(), incarnation)),
		}, nil
	}
	ticket, found, err := mtticket.Parse(request.GetKey())
	if err != nil || !found {
		return nil, twirp.InvalidArgumentError("key", "expected a ticket and a suffix")
	}
	if !s.keys.Owns(ticket) {
		return nil, twirp.NotFoundError("another incarnation gave the ticket")
	}
	// The outcome states what is known of the key, also after an error, so the error is not returned.
	outcome, _ := s.keys.OutcomeOrClose(request.GetTeam(), request.GetKey(), ticket, time.Now())
	return &peerv1.SettleResponse{
		Outcome: string(outcome),
	}, nil
}
