// Lock order: Members.mu is a leaf; no other lock is taken while it is held.

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

// Members keeps the view of all entry instances up to date by gossip; it is safe for concurrent use.
type Members struct {
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

// NewMembers returns the members of an instance that knows only itself and the control addresses of its seeds; secret
// is the peers' shared secret.
func NewMembers(
	view *mtmembership.View, state recordState, seeds []string, secret string, logger *logrus.Logger,
) *Members {
	members := &Members{
		view:   view,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		seeds:  seeds,
		secret: secret,
		state:  state,
		logger: logger,
	}
	members.client = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			DialContext:         members.dial,
		},
	}
	return members
}

// dial connects to a peer. An instance whose host refuses the connection becomes suspect, because its process has
// ended.
func (m *Members) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.suspectAt(address, time.Now())
	}
	return conn, err
}

// SetSeeds replaces the control addresses that are contacted to discover unknown instances.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Bytes returns the size of all gossip messages sent and received so far.
func (m *Members) Bytes() int64 {
	return m.gossipBytes.Load()
}

// Fill calls change with the row of this instance, which change may modify.
func (m *Members) Fill(change func(self *peerv1.Row)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.view.SelfRow())
}

// RowsInStates returns copies of the rows of the instances in one of the states, sorted by name, this instance included.
func (m *Members) RowsInStates(now time.Time, states ...string) []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloneRows(m.view.RowsInStates(now, states...))
}

// Rows returns copies of the rows of all instances in the view, sorted by name, this instance included.
func (m *Members) Rows() []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloneRows(m.view.Rows())
}

// State returns the state of an instance and the time since its heartbeat last advanced.
func (m *Members) State(instance string, now time.Time) (string, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.State(instance, now)
}

func cloneRows(rows []*peerv1.Row) []*peerv1.Row {
	clones := make([]*peerv1.Row, len(rows))
	for i, row := range rows {
		clones[i] = proto.CloneOf(row)
	}
	return clones
}

// Round exchanges gossip with a few peers and returns when all exchanges have ended.
func (m *Members) Round(ctx context.Context, now time.Time) {
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
func (m *Members) choosePartners(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pause := m.view.Tick(now); pause > 0 {
		mtevent.ObserverPaused.Log(m.logger, logrus.Fields{
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
func (m *Members) exchange(ctx context.Context, address string) {
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
func (m *Members) suspectAt(address string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.ConnectionRefused(address, now)
}

// catchUp merges the records that a peer has applied beyond this instance, and refreshes the state, because a peer has
// confirmed it. rows starts with the row of the peer.
func (m *Members) catchUp(ctx context.Context, address string, rows []*peerv1.Row, now time.Time) {
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
func (m *Members) newGossip() *peerv1.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	gossip := proto.CloneOf(m.view.GossipMessage(maxRows, maxHeartbeats, m.random))
	m.gossipBytes.Add(int64(proto.Size(gossip)))
	return gossip
}

// merge merges the gossip of a peer into the view and counts its size.
func (m *Members) merge(gossip *peerv1.Gossip, now time.Time) {
	m.gossipBytes.Add(int64(proto.Size(gossip)))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.view.Merge(gossip, now) {
		mtevent.MemberJoined.Log(m.logger, logrus.Fields{
			"member": name,
		})
	}
}

func (m *Members) clientOf(address string) peerv1.PeerService {
	return peerv1.NewPeerServiceProtobufClient("http://"+address, m.client)
}

// withSecret returns a context whose requests carry the peers' secret.
func (m *Members) withSecret(ctx context.Context) context.Context {
	header := http.Header{}
	mtauth.SetBearer(header, m.secret)
	// The only error is a header name that twirp reserves, which Authorization is not.
	requestCtx, _ := twirp.WithHTTPRequestHeaders(ctx, header)
	return requestCtx
}

// Settle asks the instance that issued a ticket for the outcome of a key with that ticket.
func (m *Members) Settle(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error) {
	return m.requestOutcome(ctx, ticket.Instance, ticket.Incarnation, &peerv1.SettleRequest{
		Team: team,
		Key:  key,
	})
}

// Recall asks the instance that made a claim for the outcome of the claimed key.
func (m *Members) Recall(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error) {
	return m.requestOutcome(ctx, claim.GetInstance(), claim.GetIncarnation(), &peerv1.SettleRequest{
		Team:        claim.GetTeam(),
		Key:         claim.GetKey(),
		Incarnation: claim.GetIncarnation(),
	})
}

// requestOutcome sends a request for the outcome of a key to one incarnation of an instance.
func (m *Members) requestOutcome(
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
func (m *Members) controlAddress(instance string, incarnation uint64) string {
	for _, row := range m.Rows() {
		if row.GetInstance() == instance && row.GetIncarnation() == incarnation {
			return row.GetControl()
		}
	}
	return ""
}

// Receive merges the gossip of a peer and returns the gossip for it.
func (m *Members) Receive(gossip *peerv1.Gossip, now time.Time) *peerv1.Gossip {
	m.merge(gossip, now)
	return m.newGossip()
}
