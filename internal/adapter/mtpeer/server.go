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

// bodyLimit bounds a message of a peer in bytes.
const bodyLimit = 1 << 20

// members takes part in the gossip.
type members interface {
	Receive(message *peerv1.Gossip, now time.Time) *peerv1.Gossip
}

// state relays what this instance has applied.
type state interface {
	Since(offset uint64) *recordv1.Snapshot
}

// keys answers questions about the keys of this incarnation.
type keys interface {
	IsHome(ticket mtticket.Ticket) bool
	Settle(team, key string, ticket mtticket.Ticket, now time.Time) (mtoutcome.Outcome, error)
	Lookup(team, key string, incarnation uint64) mtoutcome.Outcome
}

// Server implements the PeerService.
type Server struct {
	members members
	state   state
	keys    keys
}

// NewServer returns a server over the tables of this instance.
func NewServer(members members, state state, keys keys) *Server {
	return &Server{
		members: members,
		state:   state,
		keys:    keys,
	}
}

// Handler returns the HTTP handler, which refuses requests without the peers' secret.
func (s *Server) Handler(secret string) http.Handler {
	inner := peerv1.NewPeerServiceServer(s)
	allowed := []string{mtrules.HashToken(secret)}
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		if secret == "" || !mtauth.IsOneOf(request.Header, allowed) {
			_ = twirp.WriteError(to, twirp.Unauthenticated.Error("header Authorization: expected the peers' secret"))
			return
		}
		request.Body = http.MaxBytesReader(to, request.Body, bodyLimit)
		inner.ServeHTTP(to, request)
	})
}

// Exchange takes in a message and returns one.
func (s *Server) Exchange(_ context.Context, gossip *peerv1.Gossip) (*peerv1.Gossip, error) {
	return s.members.Receive(gossip, time.Now()), nil
}

// Catchup returns the keys that changed since an offset.
func (s *Server) Catchup(_ context.Context, request *peerv1.CatchupRequest) (*peerv1.CatchupResponse, error) {
	return &peerv1.CatchupResponse{
		Snapshot: s.state.Since(request.GetApplied()),
	}, nil
}

// Settle returns the outcome of a key of this incarnation and closes a key that was never seen.
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
	if !s.keys.IsHome(ticket) {
		return nil, twirp.NotFoundError("another incarnation gave the ticket")
	}
	// An error here means that the table can't tell, and its outcome says so.
	outcome, _ := s.keys.Settle(request.GetTeam(), request.GetKey(), ticket, time.Now())
	return &peerv1.SettleResponse{
		Outcome: string(outcome),
	}, nil
}
