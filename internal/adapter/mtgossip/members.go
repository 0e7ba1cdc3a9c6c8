// Lock order: Membership.mu is a leaf; no other lock is taken while it is held.

package mtgossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// maxRows and maxHeartbeats bound the contents of one message.
	maxRows       = 8
	maxHeartbeats = 40
	// exchangeTimeout bounds the exchange of gossip with one peer, and the catch-up that follows it.
	exchangeTimeout = 800 * time.Millisecond
)

var (
	namespace = errorx.NewNamespace("gossip")
	// HomeUnavailable is the type of the error for a key's home instance that is not known or does not respond.
	HomeUnavailable = namespace.NewType("gone")
)

// recordState is the state that instances pass on to each other.
type recordState interface {
	NextOffset() uint64
	SnapshotSince(offset uint64) *recordv1.Snapshot
	Merge(snapshot *recordv1.Snapshot)
	ConfirmCurrent(now time.Time)
	IsReady() bool
}

// Membership keeps the view of all entry instances up to date by gossip; it is safe for concurrent use.
type Membership struct {
	mu     sync.Mutex
	view   *mtmembership.View
	random *rand.Rand
	seeds  []string
	secret string
	state  recordState
	client *http.Client
	logger *logrus.Logger
	// gossipBytes is the size of all gossip messages sent and received.
	gossipBytes atomic.Int64
}

// NewMembership returns the members of an instance that knows only itself and the control addresses of its seeds; secret
// is the peers' shared secret.
func NewMembership(
	view *mtmembership.View, state recordState, seeds []string, secret string, logger *logrus.Logger,
) *Membership {
	members := &Membership{
		view:   view,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		seeds:  seeds,
		secret: secret,
		state:  state,
		logger: logger,
	}
	members.client = &http.Client{
		Transport: mtresponseguard.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 2,
			DialContext:         members.dial,
		}),
	}
	return members
}

// dial connects to a peer. An instance whose host refuses the connection becomes suspect, because its process has
// ended.
func (m *Membership) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.suspectAt(address, time.Now())
	}
	return conn, err
}

// SetSeeds replaces the control addresses that are contacted to discover unknown instances.
func (m *Membership) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// GossipBytes returns the size of all gossip messages sent and received so far.
func (m *Membership) GossipBytes() int64 {
	return m.gossipBytes.Load()
}

// UpdateSelf calls change with the row of this instance, which change may modify.
func (m *Membership) UpdateSelf(change func(self *peerv1.Row)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.view.SelfRow())
}

// RowsInStates returns copies of the rows of the instances in one of the states, sorted by name, this instance included.
func (m *Membership) RowsInStates(now time.Time, states ...string) []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloneRows(m.view.RowsInStates(now, states...))
}

// Rows returns copies of the rows of all instances in the view, sorted by name, this instance included.
func (m *Membership) Rows() []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloneRows(m.view.Rows())
}

// InstanceState returns the state of an instance and the time since its heartbeat last advanced.
func (m *Membership) InstanceState(instance string, now time.Time) (string, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.InstanceState(instance, now)
}

func cloneRows(rows []*peerv1.Row) []*peerv1.Row {
	clones := make([]*peerv1.Row, len(rows))
	for i, row := range rows {
		clones[i] = proto.CloneOf(row)
	}
	return clones
}

// ExchangeWithPeers exchanges gossip with a few peers and returns when all exchanges have ended.
func (m *Membership) ExchangeWithPeers(ctx context.Context, now time.Time) {
	addresses := m.choosePartners(now)
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			m.exchange(ctx, address)
		})
	}
	group.Wait()
}

// choosePartners advances the view to now and returns the control addresses of the peers for this round. A random seed
// is added to every eighth round on average, and to each round with fewer than two partners.
func (m *Membership) choosePartners(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pause := m.view.Tick(now); pause > 0 {
		mtevent.InstancePaused.Log(m.logger, logrus.Fields{
			"missed": pause.String(),
		})
	}
	addresses := m.view.PickPartners(now, m.random)
	if len(m.seeds) > 0 && (len(addresses) < 2 || m.random.IntN(8) == 0) {
		addresses = append(addresses, m.seeds[m.random.IntN(len(m.seeds))])
	}
	return addresses
}

// exchange exchanges gossip with one peer and catches up on its records.
func (m *Membership) exchange(ctx context.Context, address string) {
	exchangeCtx, cancel := context.WithTimeout(m.withSecret(ctx), exchangeTimeout)
	defer cancel()
	response, err := m.clientOf(address).Exchange(exchangeCtx, m.newGossip())
	if err != nil {
		return
	}
	now := time.Now()
	m.merge(response, now)
	m.catchUp(ctx, address, response.GetRows(), now)
}

// suspectAt suspects the instance with a control address.
func (m *Membership) suspectAt(address string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.ConnectionRefused(address, now)
}

// catchUp merges the records that a peer has applied beyond this instance, and refreshes the state, because a peer has
// confirmed it. rows starts with the row of the peer.
func (m *Membership) catchUp(ctx context.Context, address string, rows []*peerv1.Row, now time.Time) {
	if len(rows) == 0 || !rows[0].GetReady() {
		return
	}
	applied := m.state.NextOffset()
	if m.state.IsReady() && rows[0].GetApplied() <= applied {
		m.state.ConfirmCurrent(now)
		return
	}
	exchangeCtx, cancel := context.WithTimeout(m.withSecret(ctx), exchangeTimeout)
	defer cancel()
	response, err := m.clientOf(address).Catchup(exchangeCtx, &peerv1.CatchupRequest{
		Applied: applied,
	})
	if err != nil {
		return
	}
	m.state.Merge(response.GetSnapshot())
	m.state.ConfirmCurrent(now)
	mtevent.PeerStateLoaded.Log(m.logger, logrus.Fields{
		"peer":    rows[0].GetInstance(),
		"applied": response.GetSnapshot().GetThrough(),
	})
}

// newGossip returns the gossip for one peer and counts its size.
func (m *Membership) newGossip() *peerv1.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	gossip := proto.CloneOf(m.view.GossipMessage(maxRows, maxHeartbeats, m.random))
	m.gossipBytes.Add(int64(proto.Size(gossip)))
	return gossip
}

// merge merges the gossip of a peer into the view and counts its size.
func (m *Membership) merge(gossip *peerv1.Gossip, now time.Time) {
	m.gossipBytes.Add(int64(proto.Size(gossip)))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.view.Merge(gossip, now) {
		mtevent.MemberJoined.Log(m.logger, logrus.Fields{
			"member": name,
		})
	}
}

func (m *Membership) clientOf(address string) peerv1.PeerService {
	return peerv1.NewPeerServiceProtobufClient("http://"+address, m.client)
}

// withSecret returns a context whose requests carry the peers' secret.
func (m *Membership) withSecret(ctx context.Context) context.Context {
	header := http.Header{}
	mtauth.SetBearerToken(header, m.secret)
	// The only error is a header name that twirp reserves, which Authorization is not.
	requestCtx, _ := twirp.WithHTTPRequestHeaders(ctx, header)
	return requestCtx
}

// TicketKeyOutcome asks the instance that issued a ticket for the outcome of a key with that ticket.
func (m *Membership) TicketKeyOutcome(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error) {
	return m.requestOutcome(ctx, ticket.Instance, ticket.Incarnation, &peerv1.SettleRequest{
		Team: team,
		Key:  key,
	})
}

// ClaimedKeyOutcome asks the instance that made a claim for the outcome of the claimed key.
func (m *Membership) ClaimedKeyOutcome(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error) {
	return m.requestOutcome(ctx, claim.GetInstance(), claim.GetIncarnation(), &peerv1.SettleRequest{
		Team:        claim.GetTeam(),
		Key:         claim.GetKey(),
		Incarnation: claim.GetIncarnation(),
	})
}

// requestOutcome sends a request for the outcome of a key to one incarnation of an instance.
func (m *Membership) requestOutcome(
	ctx context.Context, instance string, incarnation uint64, request *peerv1.SettleRequest,
) (mtoutcome.Outcome, error) {
	address := m.controlAddress(instance, incarnation)
	if address == "" {
		return mtoutcome.Unknown, HomeUnavailable.New(
			"no instance %s with the incarnation of the key is known", instance)
	}
	response, err := m.clientOf(address).Settle(m.withSecret(ctx), request)
	if err != nil {
		return mtoutcome.Unknown, HomeUnavailable.Wrap(err, "instance %s returned no outcome of the key", instance)
	}
	return mtoutcome.Outcome(response.GetOutcome()), nil
}

// controlAddress returns the control address of one incarnation of an instance, or an empty string if it is not known.
func (m *Membership) controlAddress(instance string, incarnation uint64) string {
	for _, row := range m.Rows() {
		if row.GetInstance() == instance && row.GetIncarnation() == incarnation {
			return row.GetControl()
		}
	}
	return ""
}

// Receive merges the gossip of a peer and returns the gossip for it.
func (m *Membership) Receive(gossip *peerv1.Gossip, now time.Time) *peerv1.Gossip {
	m.merge(gossip, now)
	return m.newGossip()
}
