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
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// rowLimit and beatLimit bound one message.
	rowLimit  = 8
	beatLimit = 40
	// exchangeTimeout bounds one round with one peer.
	exchangeTimeout = 800 * time.Millisecond
)

var (
	namespace = errorx.NewNamespace("gossip")
	// Gone is the type of the error for a home that is no longer there.
	Gone = namespace.NewType("gone")
)

// state is what peers relay to each other.
type state interface {
	Applied() uint64
	Since(offset uint64) *recordv1.Snapshot
	Merge(snapshot *recordv1.Snapshot)
	Refresh(now time.Time)
	IsReady() bool
}

// Members keeps the view of all entry instances current; it is safe for use by many goroutines.
type Members struct {
	mu     sync.Mutex
	view   *mtmember.View
	random *rand.Rand
	seeds  []string
	secret string
	state  state
	client *http.Client
	logger *logrus.Logger
	// bytes counts the messages of gossip, sent and received.
	bytes atomic.Int64
}

// NewMembers returns the members as an instance sees them that knows only itself and its seeds.
func NewMembers(view *mtmember.View, state state, seeds []string, secret string, logger *logrus.Logger) *Members {
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

// dial connects to a peer, and suspects an instance whose host refuses the connection, because its process is gone.
func (m *Members) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		m.refused(address, time.Now())
	}
	return conn, err
}

// SetSeeds replaces the control addresses at which unknown instances may be found.
func (m *Members) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = seeds
}

// Bytes returns the size of all messages of gossip so far, sent and received.
func (m *Members) Bytes() int64 {
	return m.bytes.Load()
}

// Fill changes the own row.
func (m *Members) Fill(change func(self *peerv1.Row)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m.view.Self())
}

// Live returns the rows of the instances in one of the states, itself included.
func (m *Members) Live(now time.Time, states ...string) []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloned(m.view.Live(now, states...))
}

// Known returns the rows of all instances that are not forgotten.
func (m *Members) Known() []*peerv1.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cloned(m.view.Known())
}

// State returns the state of an instance and for how long it has been silent.
func (m *Members) State(instance string, now time.Time) (string, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.State(instance, now)
}

func cloned(rows []*peerv1.Row) []*peerv1.Row {
	result := make([]*peerv1.Row, len(rows))
	for i, row := range rows {
		result[i] = proto.CloneOf(row)
	}
	return result
}

// Round exchanges rows with a few peers.
func (m *Members) Round(ctx context.Context, now time.Time) {
	partners := m.tick(now)
	var group sync.WaitGroup
	for _, address := range partners {
		group.Go(func() {
			m.exchange(ctx, address)
		})
	}
	group.Wait()
}

func (m *Members) tick(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if missed := m.view.Tick(now); missed > 0 {
		mtevent.ObserverPaused.Log(m.logger, logrus.Fields{
			"missed": missed.String(),
		})
	}
	partners := m.view.Partners(now, m.random)
	if len(m.seeds) > 0 && (len(partners) < 2 || m.random.IntN(8) == 0) {
		partners = append(partners, m.seeds[m.random.IntN(len(m.seeds))])
	}
	return partners
}

func (m *Members) exchange(ctx context.Context, address string) {
	limited, cancel := context.WithTimeout(m.authorized(ctx), exchangeTimeout)
	defer cancel()
	answer, err := m.peer(address).Exchange(limited, m.message())
	if err != nil {
		return
	}
	now := time.Now()
	m.merge(answer, now)
	m.catchUp(ctx, address, answer.GetRows(), now)
}

func (m *Members) refused(address string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.view.Refused(address, now)
}

// catchUp takes from a peer what it has applied beyond this instance, and counts the contact as a sign of freshness.
func (m *Members) catchUp(ctx context.Context, address string, rows []*peerv1.Row, now time.Time) {
	if len(rows) == 0 || !rows[0].GetReady() {
		return
	}
	applied := m.state.Applied()
	if m.state.IsReady() && rows[0].GetApplied() <= applied {
		m.state.Refresh(now)
		return
	}
	limited, cancel := context.WithTimeout(m.authorized(ctx), exchangeTimeout)
	defer cancel()
	answer, err := m.peer(address).Catchup(limited, &peerv1.CatchupRequest{
		Applied: applied,
	})
	if err != nil {
		return
	}
	m.state.Merge(answer.GetSnapshot())
	m.state.Refresh(now)
	mtevent.PeerStateLoaded.Log(m.logger, logrus.Fields{
		"peer":    rows[0].GetInstance(),
		"applied": answer.GetSnapshot().GetThrough(),
	})
}

func (m *Members) message() *peerv1.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	message := proto.CloneOf(m.view.Message(rowLimit, beatLimit, m.random))
	m.bytes.Add(int64(proto.Size(message)))
	return message
}

func (m *Members) merge(message *peerv1.Gossip, now time.Time) {
	m.bytes.Add(int64(proto.Size(message)))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.view.Merge(message, now) {
		mtevent.MemberJoined.Log(m.logger, logrus.Fields{
			"member": name,
		})
	}
}

func (m *Members) peer(address string) peerv1.PeerService {
	return peerv1.NewPeerServiceProtobufClient("http://"+address, m.client)
}

func (m *Members) authorized(ctx context.Context) context.Context {
	header := http.Header{}
	mtauth.SetBearer(header, m.secret)
	// The names set here are none of those that twirp reserves, which is the only error.
	authorized, _ := twirp.WithHTTPRequestHeaders(ctx, header)
	return authorized
}

// Settle asks the home of a ticket what became of a key.
func (m *Members) Settle(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error) {
	return m.ask(ctx, ticket.Instance, ticket.Incarnation, &peerv1.SettleRequest{
		Team: team,
		Key:  key,
	})
}

// Recall asks the holder of a claim what became of the key.
func (m *Members) Recall(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error) {
	return m.ask(ctx, claim.GetInstance(), claim.GetIncarnation(), &peerv1.SettleRequest{
		Team:        claim.GetTeam(),
		Key:         claim.GetKey(),
		Incarnation: claim.GetIncarnation(),
	})
}

func (m *Members) ask(ctx context.Context, instance string, incarnation uint64, question *peerv1.SettleRequest) (mtoutcome.Outcome, error) {
	address := m.home(instance, incarnation)
	if address == "" {
		return mtoutcome.Unknown, Gone.New("no instance %s of that incarnation is known", instance)
	}
	answer, err := m.peer(address).Settle(m.authorized(ctx), question)
	if err != nil {
		return mtoutcome.Unknown, Gone.Wrap(err, "instance %s did not answer", instance)
	}
	return mtoutcome.Outcome(answer.GetOutcome()), nil
}

func (m *Members) home(instance string, incarnation uint64) string {
	for _, row := range m.Known() {
		if row.GetInstance() == instance && row.GetIncarnation() == incarnation {
			return row.GetControl()
		}
	}
	return ""
}

// Receive takes in the message of a peer's round and returns one for the peer.
func (m *Members) Receive(message *peerv1.Gossip, now time.Time) *peerv1.Gossip {
	m.merge(message, now)
	return m.message()
}
