// Lock order: Mesh.mu is a leaf; no other lock is taken while it is held.
//
// In each HeartbeatInterval an instance sends a gossip message to a bounded number of random other instances: its own
// row, the rows of a few others and the bare heartbeats of many. An instance with a role also sends its own row to all
// others, so that all detect its failure soon. Datagrams may be lost: rows are sent repeatedly, and an instance that
// finds from a row that it has missed changes requests the complete feed over HTTP.

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
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtpartner"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// HeartbeatInterval is the time between two gossip rounds.
	HeartbeatInterval = 400 * time.Millisecond
	// fanout is the number of instances that a gossip message is sent to. Together with maxRowsPerMessage and
	// maxHeartbeatsPerMessage it keeps the gossip that an instance sends below 10 KB/s for any number of instances.
	fanout = 4
	// remoteFanout is the number of these that are in other data centres, as far as the own one has others: bytes
	// between data centres are expensive.
	remoteFanout            = 1
	maxRowsPerMessage       = 3
	maxHeartbeatsPerMessage = 48
	// maxDatagramBytes bounds a message. A larger one is dropped: an instance that misses changes requests the complete
	// feed.
	maxDatagramBytes = 8 << 10
	// seedRoundInterval is the number of rounds between two messages to the seeds. A dead instance is a candidate for
	// a message in one of seedRoundInterval rounds on average.
	seedRoundInterval = 10
	// suspectTimeout and deadTimeout are the times without a new heartbeat after which an instance is suspect or dead.
	suspectTimeout = 2 * time.Second
	deadTimeout    = 5 * time.Second
)

// listener provides the content of outgoing messages and handles incoming ones.
type listener interface {
	// CompleteRow completes the own row before it is sent, and reports whether the instance has a role.
	CompleteRow(self *peerv1.Row, now time.Time) bool
	// HandleRow handles the row of the instance that sent a message.
	HandleRow(row *peerv1.Row, now time.Time)
	// HandleChanges handles changes of a feed.
	HandleChanges(changes *peerv1.Changes, now time.Time)
	// EndpointNotices returns the notices of endpoints that are leaving or have asked for a pause, for the next message.
	EndpointNotices(now time.Time) []*peerv1.Mark
	// ApplyEndpointNotices applies such notices from another instance.
	ApplyEndpointNotices(notices []*peerv1.Mark, now time.Time)
	// EndpointLimits returns the request limits that endpoints have named or lifted, for the next message.
	EndpointLimits(now time.Time) []*peerv1.Limit
	// ApplyEndpointLimits applies such limits from another instance.
	ApplyEndpointLimits(limits []*peerv1.Limit, now time.Time)
	// WarmUps returns the endpoints that were found cold or warm, for the next message.
	WarmUps(now time.Time) []*peerv1.WarmUp
	// ApplyWarmUps applies such findings of another instance.
	ApplyWarmUps(warmUps []*peerv1.WarmUp, now time.Time)
	// Suspects returns evidence about requests under which endpoints have crashed, for the next message.
	Suspects(now time.Time) []*peerv1.Suspect
	// ApplySuspects applies such evidence from another instance.
	ApplySuspects(suspects []*peerv1.Suspect, now time.Time)
	// HandleQuota handles reports and grants of quotas from another instance.
	HandleQuota(quota *peerv1.Quota, now time.Time)
}

// Mesh exchanges gossip with the other instances; it is safe for concurrent use.
type Mesh struct {
	socket   *net.UDPConn
	listener listener
	logger   *logrus.Logger
	seeds    []string
	random   *rand.Rand
	rounds   int
	traffic  sentTraffic

	mu   sync.Mutex
	view *mtmembership.View
	// resolved caches parsed addresses.
	resolved map[string]*net.UDPAddr
	// joinsSpreadAt is when the last gossip message because of joined instances was sent, or will be.
	joinsSpreadAt time.Time
	// loggedDead holds, by instance name, whether its death was logged.
	loggedDead map[string]bool
}

// NewMesh opens the UDP socket of an instance that knows only itself and its seeds.
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
		socket:   socket,
		listener: listener,
		logger:   logger,
		seeds:    seeds,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		view: mtmembership.NewView(self, mtmembership.WithTickInterval(HeartbeatInterval),
			mtmembership.WithFailureTimeouts(suspectTimeout, deadTimeout)),
		resolved:   map[string]*net.UDPAddr{},
		loggedDead: map[string]bool{},
	}, nil
}

// Run sends and receives gossip until the context ends, then closes the socket.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive()
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	m.announce(ctx)
	for {
		select {
		case <-ctx.Done():
			_ = m.socket.Close()
			return
		case now := <-ticker.C:
			m.tick(now)
			m.SendHeartbeat(now)
		}
	}
}

const (
	// announceInterval is the time between the first messages of an instance, and maxAnnouncements bounds their number.
	// The short interval lets instances that start together find each other sooner.
	announceInterval = 40 * time.Millisecond
	maxAnnouncements = 12
)

// announce sends the first messages, until another instance is known.
func (m *Mesh) announce(ctx context.Context) {
	for range maxAnnouncements {
		now := time.Now()
		m.SendHeartbeat(now)
		if len(m.Instances(now)) > 1 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// tick advances the own heartbeat and logs instances that died and pauses of this process.
func (m *Mesh) tick(now time.Time) {
	m.mu.Lock()
	missed := m.view.Tick(now)
	died := m.newlyDead(now)
	m.mu.Unlock()
	for _, name := range died {
		mtevent.MemberConsideredDead.Log(m.logger, logrus.Fields{
			"instance": name,
		})
	}
	if missed > 0 {
		mtevent.InstancePaused.Log(m.logger, logrus.Fields{
			"missed": missed.String(),
		})
	}
}

// newlyDead returns the instances that died since the previous call. The caller must hold mu.
func (m *Mesh) newlyDead(now time.Time) []string {
	var died []string
	for _, row := range m.view.Rows() {
		name := row.GetInstance()
		state, _ := m.view.InstanceState(name, now)
		if state == mtmembership.Dead && !m.loggedDead[name] {
			died = append(died, name)
		}
		m.loggedDead[name] = state == mtmembership.Dead
	}
	return died
}

// CountInState returns the number of instances in a state, this one included.
func (m *Mesh) CountInState(state string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.view.RowsInStates(now, state))
}

// CountNotLeaving returns the number of known instances that are not leaving, this one included, whether alive or not.
func (m *Mesh) CountNotLeaving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, row := range m.view.Rows() {
		if !row.GetLeaving() {
			count++
		}
	}
	return count
}

// SendHeartbeat sends a gossip message to random instances now; an instance with a role also sends its own row to all others.
func (m *Mesh) SendHeartbeat(now time.Time) {
	m.sendHeartbeat(false, now)
}

// SendHeartbeatToAll sends a gossip message to random instances and the own row to all others now.
func (m *Mesh) SendHeartbeatToAll(now time.Time) {
	m.sendHeartbeat(true, now)
}

func (m *Mesh) sendHeartbeat(all bool, now time.Time) {
	statements := m.endpointStatements(now)
	m.mu.Lock()
	m.rounds++
	hasRole := m.completeRow(now)
	addresses := m.peerAddresses(now)
	selected := addresses[:mtpartner.Choose(addresses, fanout, remoteFanout, m.random)]
	message, err := m.encodeGossip(statements)
	rowMessage, rowErr := proto.Marshal(&peerv1.Gossip{
		Rows:   []*peerv1.Row{m.view.SelfRow()},
		Marks:  statements.GetMarks(),
		Limits: statements.GetLimits(),
	})
	if len(addresses) == 0 || m.rounds%seedRoundInterval == 0 {
		selected = append(slices.Clone(selected), m.seedAddresses()...)
	}
	m.mu.Unlock()
	if err := errors.Join(err, rowErr); err != nil {
		m.logger.WithError(err).Debug("encoding a gossip message failed; it is not sent")
		return
	}
	m.send(KindGossip, message, selected)
	if hasRole || all {
		m.send(KindRow, rowMessage, addresses[min(len(addresses), fanout):])
	}
}

// completeRow completes the own row and reports whether the instance has a role. The caller must hold mu.
func (m *Mesh) completeRow(now time.Time) (hasRole bool) {
	// Of two rows with the same heartbeat, receivers keep the first.
	m.view.SelfRow().Heartbeat++
	return m.listener.CompleteRow(m.view.SelfRow(), now)
}

// endpointStatements returns a message with what endpoints have stated, and nothing else.
func (m *Mesh) endpointStatements(now time.Time) *peerv1.Gossip {
	return &peerv1.Gossip{
		Marks:  m.listener.EndpointNotices(now),
		Limits: m.listener.EndpointLimits(now),
		// Only messages to a few instances have these; all were sent once to all instances.
		Warmups:  m.listener.WarmUps(now),
		Suspects: m.listener.Suspects(now),
	}
}

// encodeGossip returns the next gossip message with the statements of endpoints. The caller must hold mu.
func (m *Mesh) encodeGossip(statements *peerv1.Gossip) ([]byte, error) {
	gossip := m.view.GossipMessage(maxRowsPerMessage, maxHeartbeatsPerMessage, m.random)
	gossip.Marks = statements.GetMarks()
	gossip.Limits = statements.GetLimits()
	gossip.Warmups = statements.GetWarmups()
	gossip.Suspects = statements.GetSuspects()
	return proto.Marshal(gossip)
}

// sendToNewInstance sends a gossip message to an instance that was not known before.
func (m *Mesh) sendToNewInstance(row *peerv1.Row, now time.Time) {
	statements := m.endpointStatements(now)
	m.mu.Lock()
	m.completeRow(now)
	message, err := m.encodeGossip(statements)
	to := m.destinationOf(row)
	m.mu.Unlock()
	if err != nil {
		m.logger.WithError(err).Debug("encoding a gossip message failed; it is not sent")
		return
	}
	m.send(KindGossip, message, []destination{to})
}

// peerAddresses returns the addresses of the other instances. The caller must hold mu.
func (m *Mesh) peerAddresses(now time.Time) []destination {
	var addresses []destination
	for _, row := range m.view.Rows() {
		if row.GetInstance() == m.view.SelfRow().GetInstance() {
			continue
		}
		// Dead instances are included occasionally, so that the halves of a healed network partition rejoin.
		if state, _ := m.view.InstanceState(row.GetInstance(), now); state == mtmembership.Dead &&
			m.random.IntN(seedRoundInterval) > 0 {
			continue
		}
		addresses = append(addresses, m.destinationOf(row))
	}
	return addresses
}

// destinationOf returns the address of an instance. The caller must hold mu.
func (m *Mesh) destinationOf(row *peerv1.Row) destination {
	return destination{
		address:  m.resolveAddress(row.GetMesh()),
		isRemote: row.GetCentre() != m.view.SelfRow().GetCentre(),
	}
}

// seedAddresses returns the addresses of the seeds, whose data centres are not known.
func (m *Mesh) seedAddresses() []destination {
	var addresses []destination
	for _, seed := range m.seeds {
		addresses = append(addresses, destination{
			address:  m.resolveAddress(seed),
			isRemote: true,
		})
	}
	return addresses
}

// resolveAddress parses an address of IP and port, and returns nil if it is invalid. The caller must hold mu.
func (m *Mesh) resolveAddress(address string) *net.UDPAddr {
	if cached := m.resolved[address]; cached != nil {
		return cached
	}
	parsed, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil
	}
	m.resolved[address] = parsed
	return parsed
}

func (m *Mesh) send(kind Kind, message []byte, destinations []destination) {
	if len(message) > maxDatagramBytes {
		return
	}
	for _, to := range destinations {
		if to.address == nil {
			continue
		}
		// A send error is ignored like a lost datagram, which the protocol tolerates.
		_, _ = m.socket.WriteToUDP(message, to.address)
		m.traffic.add(trafficKey{
			kind:     kind,
			isRemote: to.isRemote,
		}, len(message))
	}
}

// BroadcastChanges sends changes of a feed to all other instances.
func (m *Mesh) BroadcastChanges(changes *peerv1.Changes, now time.Time) {
	m.broadcast(KindChanges, changesMessage(changes), now)
}

// changesMessage returns a message with changes. Those with pieces are in a field that older builds ignore.
func changesMessage(changes *peerv1.Changes) *peerv1.Gossip {
	if changes.GetDiffers() {
		return &peerv1.Gossip{
			Differences: changes,
		}
	}
	return &peerv1.Gossip{
		Changes: changes,
	}
}

// BroadcastSuspects sends evidence about requests under which endpoints have crashed to all other instances.
func (m *Mesh) BroadcastSuspects(suspects []*peerv1.Suspect, now time.Time) {
	m.broadcast(KindSuspects, &peerv1.Gossip{
		Suspects: suspects,
	}, now)
}

// BroadcastWarmUps sends the endpoints that were found cold or warm to all other instances.
func (m *Mesh) BroadcastWarmUps(warmUps []*peerv1.WarmUp, now time.Time) {
	m.broadcast(KindWarmUps, &peerv1.Gossip{
		Warmups: warmUps,
	}, now)
}

// broadcast sends a message to all other instances.
func (m *Mesh) broadcast(kind Kind, gossip *peerv1.Gossip, now time.Time) {
	message, err := proto.Marshal(gossip)
	if err != nil {
		m.logger.WithError(err).Debug("encoding a message to all instances failed; it is not sent")
		return
	}
	m.mu.Lock()
	addresses := m.peerAddresses(now)
	m.mu.Unlock()
	m.send(kind, message, addresses)
}

// SendQuota sends reports or grants of quotas to one instance.
func (m *Mesh) SendQuota(instance string, quota *peerv1.Quota) {
	message, err := proto.Marshal(&peerv1.Gossip{
		Quota: quota,
	})
	if err != nil {
		m.logger.WithError(err).Debug("encoding a quota message failed; it is not sent")
		return
	}
	m.mu.Lock()
	var to destination
	for _, row := range m.view.Rows() {
		if row.GetInstance() == instance {
			to = m.destinationOf(row)
			break
		}
	}
	m.mu.Unlock()
	m.send(KindQuota, message, []destination{to})
}

// changesFanout is the number of instances that each instance forwards larger changes to, remoteFanout of them in other
// data centres. With 5, some 7 of 1000 instances are not reached, and request what they have missed.
const changesFanout = 5

// GossipChanges sends changes of a feed to changesFanout random instances.
func (m *Mesh) GossipChanges(changes *peerv1.Changes, now time.Time) {
	message, err := proto.Marshal(changesMessage(changes))
	if err != nil {
		m.logger.WithError(err).Debug("encoding changes failed; they are not sent")
		return
	}
	m.mu.Lock()
	addresses := m.peerAddresses(now)
	selected := addresses[:mtpartner.Choose(addresses, changesFanout, remoteFanout, m.random)]
	m.mu.Unlock()
	m.send(KindChanges, message, selected)
}

// AddSeeds adds addresses at which other instances may be reached and sends a gossip message, also to all seeds if one
// is new.
func (m *Mesh) AddSeeds(seeds []string, now time.Time) {
	m.mu.Lock()
	for _, seed := range seeds {
		if seed != m.view.SelfRow().GetMesh() && m.resolved[seed] == nil {
			m.seeds = append(m.seeds, seed)
			m.rounds = seedRoundInterval - 1
		}
	}
	m.mu.Unlock()
	m.SendHeartbeat(now)
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
			m.logger.WithError(err).Debug("receiving a gossip message failed; it is ignored")
			continue
		}
		m.handleMessage(message, time.Now())
	}
}

func (m *Mesh) handleMessage(message *peerv1.Gossip, now time.Time) {
	if rows := message.GetRows(); len(rows) > 0 {
		m.mu.Lock()
		joined := m.view.Merge(message, now)
		m.mu.Unlock()
		if len(joined) > 0 {
			mtevent.MemberJoined.Log(m.logger, logrus.Fields{
				"instances": joined,
			})
		}
		// Only the sender's own row, the first one, is as recent as the message.
		m.listener.HandleRow(rows[0], now)
		if len(joined) > 0 {
			m.spreadJoins(now)
		}
		if slices.Contains(joined, rows[0].GetInstance()) {
			// The sender may know no other instance yet, and the gossip message may go to others only.
			m.sendToNewInstance(rows[0], now)
		}
	}
	if notices := message.GetMarks(); len(notices) > 0 {
		m.listener.ApplyEndpointNotices(notices, now)
	}
	if limits := message.GetLimits(); len(limits) > 0 {
		m.listener.ApplyEndpointLimits(limits, now)
	}
	if warmUps := message.GetWarmups(); len(warmUps) > 0 {
		m.listener.ApplyWarmUps(warmUps, now)
	}
	if suspects := message.GetSuspects(); len(suspects) > 0 {
		m.listener.ApplySuspects(suspects, now)
	}
	if quota := message.GetQuota(); quota != nil {
		m.listener.HandleQuota(quota, now)
	}
	for _, changes := range []*peerv1.Changes{message.GetChanges(), message.GetDifferences()} {
		if changes != nil {
			m.listener.HandleChanges(changes, now)
		}
	}
}

// joinSpreadInterval is the time between two gossip messages that are sent because instances have joined. When all
// instances restart, each would otherwise send one for each of the others within some 100 ms.
const joinSpreadInterval = 20 * time.Millisecond

// spreadJoins sends a gossip message because instances have joined, now or at the end of the interval since the last one.
func (m *Mesh) spreadJoins(now time.Time) {
	m.mu.Lock()
	remaining := joinSpreadInterval - now.Sub(m.joinsSpreadAt)
	isPending := now.Before(m.joinsSpreadAt)
	if !isPending {
		m.joinsSpreadAt = now.Add(max(0, remaining))
	}
	m.mu.Unlock()
	switch {
	case isPending:
	case remaining > 0:
		time.AfterFunc(remaining, func() {
			m.SendHeartbeat(time.Now())
		})
	default:
		m.SendHeartbeat(now)
	}
}

// Instance is the row of an instance and its silence.
type Instance struct {
	Row *peerv1.Row
	// SinceHeartbeat is the time since the heartbeat of the instance last advanced, or 0 for this instance.
	SinceHeartbeat time.Duration
}

// Instances returns all instances that are not dead, this one included. The caller must not change the rows.
func (m *Mesh) Instances(now time.Time) []Instance {
	return m.instances(false, now)
}

// KnownInstances returns all instances that are known, dead ones and this one included. The caller must not change the rows.
func (m *Mesh) KnownInstances(now time.Time) []Instance {
	return m.instances(true, now)
}

// CountUnheardSeeds returns the number of seeds at which no instance is known.
func (m *Mesh) CountUnheardSeeds() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	unheard := map[string]bool{}
	for _, seed := range m.seedAddresses() {
		if seed.address != nil {
			unheard[seed.address.String()] = true
		}
	}
	for _, row := range m.view.Rows() {
		if address := m.resolveAddress(row.GetMesh()); address != nil {
			delete(unheard, address.String())
		}
	}
	return len(unheard)
}

func (m *Mesh) instances(includeDead bool, now time.Time) []Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result []Instance
	for _, row := range m.view.Rows() {
		if state, silence := m.view.InstanceState(row.GetInstance(), now); includeDead || state != mtmembership.Dead {
			if row == m.view.SelfRow() {
				row = proto.CloneOf(row)
			}
			result = append(result, Instance{
				Row:            row,
				SinceHeartbeat: silence,
			})
		}
	}
	return result
}
