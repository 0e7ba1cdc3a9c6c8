// Lock order: Mesh.mu is a leaf; no other lock is taken while it is held.
//
// Every period each instance sends its row, a few others and many bare heartbeats to a bounded number of others, drawn at
// random; one with a role sends its row alone to all, so that all notice its end soon. Datagrams may be lost: rows repeat, and whoever learns from a row that it has missed
// changes asks for the whole feed over HTTP.

package mtmesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// Period is the time between two beats.
	Period = 400 * time.Millisecond
	// fanout is the number of others that an instance sends a message to; with rowLimit and beatLimit, which bound one message,
	// it keeps the gossip of an instance below 10 KB/s whatever the number of instances.
	fanout    = 4
	rowLimit  = 3
	beatLimit = 48
	// datagramLimit is the size in bytes up to which a message is sent; whoever misses changes asks for the whole feed.
	datagramLimit = 8 << 10
	// seedRounds is the number of periods between two messages to the seeds.
	seedRounds = 10
	// suspectAfter and deadAfter are the silences of an instance.
	suspectAfter = 2 * time.Second
	deadAfter    = 5 * time.Second
)

// listener takes in what others say.
type listener interface {
	// Fill completes the own row before it is sent, and reports whether the instance has a role.
	Fill(self *peerv1.Row, now time.Time) bool
	// Heard takes in the row of another instance.
	Heard(row *peerv1.Row, now time.Time)
	// Changed takes in changes of a feed.
	Changed(changes *peerv1.Changes, now time.Time)
	// Marks returns what endpoints have said of themselves, for the next message.
	Marks(now time.Time) []*peerv1.Mark
	// Marked takes in such marks of another instance.
	Marked(marks []*peerv1.Mark, now time.Time)
}

// Mesh exchanges rows with the other instances; it is safe for use by many goroutines.
type Mesh struct {
	socket   *net.UDPConn
	listener listener
	logger   *logrus.Logger
	seeds    []string
	random   *rand.Rand
	rounds   int

	mu        sync.Mutex
	view      *mtmember.View
	addresses map[string]*net.UDPAddr
	// dead are the instances whose end was logged.
	dead map[string]bool
}

// NewMesh opens the socket of an instance that knows only itself and its seeds.
func NewMesh(self *peerv1.Row, seeds []string, listener listener, logger *logrus.Logger) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp", self.GetMesh())
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, err
	}
	return &Mesh{
		socket:    socket,
		listener:  listener,
		logger:    logger,
		seeds:     seeds,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		view:      mtmember.NewView(self, mtmember.WithPeriod(Period), mtmember.WithSilence(suspectAfter, deadAfter)),
		addresses: map[string]*net.UDPAddr{},
		dead:      map[string]bool{},
	}, nil
}

// Run sends and receives until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	ticker := time.NewTicker(Period)
	defer ticker.Stop()
	m.announce(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = m.socket.Close()
			return
		case now := <-ticker.C:
			m.tick(now)
			m.Beat(now)
		}
	}
}

const (
	// announceGap is the time between the first beats of an instance, and announceCount their number: instances that start
	// together find each other sooner.
	announceGap   = 40 * time.Millisecond
	announceCount = 12
)

// announce sends the first beats, until somebody answers.
func (m *Mesh) announce(ctx context.Context) {
	for range announceCount {
		now := time.Now()
		m.Beat(now)
		if len(m.Standings(now)) > 1 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceGap):
		}
	}
}

func (m *Mesh) tick(now time.Time) {
	m.mu.Lock()
	missed := m.view.Tick(now)
	lost := m.newlyDead(now)
	m.mu.Unlock()
	for _, name := range lost {
		mtevent.MemberLost.Log(m.logger, logrus.Fields{
			"instance": name,
		})
	}
	if missed > 0 {
		mtevent.ObserverPaused.Log(m.logger, logrus.Fields{
			"missed": missed.String(),
		})
	}
}

// newlyDead returns the instances that have died since the last call; the mutex is held.
func (m *Mesh) newlyDead(now time.Time) []string {
	var lost []string
	for _, row := range m.view.Known() {
		name := row.GetInstance()
		state, _ := m.view.State(name, now)
		if state == mtmember.Dead && !m.dead[name] {
			lost = append(lost, name)
		}
		m.dead[name] = state == mtmember.Dead
	}
	return lost
}

// Count returns the number of instances in a state, itself included.
func (m *Mesh) Count(state string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.view.Live(now, state))
}

// Fleet returns the number of instances that were heard of and have not left, itself included, whether they are heard at present or
// not.
func (m *Mesh) Fleet() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, row := range m.view.Known() {
		if !row.GetLeaving() {
			count++
		}
	}
	return count
}

// Beat sends the own row now: to a few, or to all by an instance with a role.
func (m *Mesh) Beat(now time.Time) {
	m.beat(false, now)
}

// BeatAll sends the own row to all others now.
func (m *Mesh) BeatAll(now time.Time) {
	m.beat(true, now)
}

func (m *Mesh) beat(all bool, now time.Time) {
	marks := m.listener.Marks(now)
	m.mu.Lock()
	m.rounds++
	hasRole := m.listener.Fill(m.view.Self(), now)
	targets := m.targets(now)
	few := targets
	if len(few) > fanout {
		m.random.Shuffle(len(few), func(i, j int) {
			few[i], few[j] = few[j], few[i]
		})
		few = few[:fanout]
	}
	message, err := m.message(marks)
	row, failed := proto.Marshal(&peerv1.Gossip{
		Rows:  []*peerv1.Row{m.view.Self()},
		Marks: marks,
	})
	if len(targets) == 0 || m.rounds%seedRounds == 0 {
		few = append(slices.Clone(few), m.seedTargets()...)
	}
	m.mu.Unlock()
	if err := errors.Join(err, failed); err != nil {
		m.logger.WithError(err).Debug("own row can't be written")
		return
	}
	m.send(message, few)
	if hasRole || all {
		m.send(row, targets[min(len(targets), fanout):])
	}
}

// message returns the next message to a few others; the mutex is held.
func (m *Mesh) message(marks []*peerv1.Mark) ([]byte, error) {
	gossip := m.view.Message(rowLimit, beatLimit, m.random)
	gossip.Marks = marks
	return proto.Marshal(gossip)
}

// welcome sends a message to an instance that was not known before.
func (m *Mesh) welcome(newcomer *peerv1.Row, now time.Time) {
	marks := m.listener.Marks(now)
	m.mu.Lock()
	m.listener.Fill(m.view.Self(), now)
	message, err := m.message(marks)
	target := m.resolve(newcomer.GetMesh())
	m.mu.Unlock()
	if err != nil {
		m.logger.WithError(err).Debug("own row can't be written")
		return
	}
	m.send(message, []*net.UDPAddr{target})
}

// targets returns the addresses of the other instances; the mutex is held.
func (m *Mesh) targets(now time.Time) []*net.UDPAddr {
	var targets []*net.UDPAddr
	for _, row := range m.view.Known() {
		if row.GetInstance() == m.view.Self().GetInstance() {
			continue
		}
		// A dead instance is tried now and then, so that two halves that lost each other meet again.
		if state, _ := m.view.State(row.GetInstance(), now); state == mtmember.Dead && m.random.IntN(seedRounds) > 0 {
			continue
		}
		targets = append(targets, m.resolve(row.GetMesh()))
	}
	return targets
}

func (m *Mesh) seedTargets() []*net.UDPAddr {
	var targets []*net.UDPAddr
	for _, seed := range m.seeds {
		targets = append(targets, m.resolve(seed))
	}
	return targets
}

// resolve returns the parsed form of an address of IP number and port, or nil; the mutex is held.
func (m *Mesh) resolve(address string) *net.UDPAddr {
	if found := m.addresses[address]; found != nil {
		return found
	}
	parsed, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	m.addresses[address] = parsed
	return parsed
}

func (m *Mesh) send(message []byte, targets []*net.UDPAddr) {
	if len(message) > datagramLimit {
		return
	}
	for _, target := range targets {
		if target != nil {
			// A datagram that can't be sent is as good as lost, and losses are expected.
			_, _ = m.socket.WriteToUDP(message, target)
		}
	}
}

// Relay sends changes of a feed to all instances.
func (m *Mesh) Relay(changes *peerv1.Changes, now time.Time) {
	message, err := proto.Marshal(&peerv1.Gossip{
		Changes: changes,
	})
	if err != nil {
		m.logger.WithError(err).Debug("changes can't be written")
		return
	}
	m.mu.Lock()
	targets := m.targets(now)
	m.mu.Unlock()
	m.send(message, targets)
}

// spreadWidth is the number of instances that each instance passes larger changes on to; with five, some seven of a thousand
// are not reached, and ask for what they have missed.
const spreadWidth = 5

// Spread sends changes of a feed to a few instances, drawn at random.
func (m *Mesh) Spread(changes *peerv1.Changes, now time.Time) {
	message, err := proto.Marshal(&peerv1.Gossip{
		Changes: changes,
	})
	if err != nil {
		m.logger.WithError(err).Debug("changes can't be written")
		return
	}
	m.mu.Lock()
	targets := m.targets(now)
	m.random.Shuffle(len(targets), func(i, j int) {
		targets[i], targets[j] = targets[j], targets[i]
	})
	m.mu.Unlock()
	m.send(message, targets[:min(len(targets), spreadWidth)])
}

// AddSeeds adds addresses at which instances may be found.
func (m *Mesh) AddSeeds(seeds []string, now time.Time) {
	m.mu.Lock()
	for _, seed := range seeds {
		if seed != m.view.Self().GetMesh() && m.addresses[seed] == nil {
			m.seeds = append(m.seeds, seed)
			m.rounds = seedRounds - 1
		}
	}
	m.mu.Unlock()
	m.Beat(now)
}

func (m *Mesh) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, err := m.socket.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		message := &peerv1.Gossip{}
		if err == nil {
			err = proto.Unmarshal(buffer[:n], message)
		}
		if err != nil {
			m.logger.WithError(err).Debug("message of another instance can't be read")
			continue
		}
		m.take(message, time.Now())
	}
}

func (m *Mesh) take(message *peerv1.Gossip, now time.Time) {
	if rows := message.GetRows(); len(rows) > 0 {
		m.mu.Lock()
		arrived := m.view.Merge(message, now)
		m.mu.Unlock()
		if len(arrived) > 0 {
			mtevent.MemberJoined.Log(m.logger, logrus.Fields{
				"instances": arrived,
			})
		}
		// Only the sender's own row is as young as the message.
		m.listener.Heard(rows[0], now)
		if len(arrived) > 0 {
			m.Beat(now)
		}
		if slices.Contains(arrived, rows[0].GetInstance()) {
			// It may know nobody else yet, and the beat goes to a few others.
			m.welcome(rows[0], now)
		}
	}
	if marks := message.GetMarks(); len(marks) > 0 {
		m.listener.Marked(marks, now)
	}
	if changes := message.GetChanges(); changes != nil {
		m.listener.Changed(changes, now)
	}
}

// Standing is an instance with its silence.
type Standing struct {
	Row     *peerv1.Row
	Silence time.Duration
}

// Standings returns all instances that are not dead, itself included; the rows must not be changed.
func (m *Mesh) Standings(now time.Time) []Standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result []Standing
	for _, row := range m.view.Known() {
		if state, silence := m.view.State(row.GetInstance(), now); state != mtmember.Dead {
			if row == m.view.Self() {
				row = proto.CloneOf(row)
			}
			result = append(result, Standing{
				Row:     row,
				Silence: silence,
			})
		}
	}
	return result
}
