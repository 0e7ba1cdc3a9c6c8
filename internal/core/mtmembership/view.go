// Each instance owns one row and increments its heartbeat once a round. Rows are exchanged by push and pull; of two
// rows of one instance, the one with the higher (epoch, heartbeat) is the newer one. The silence of an instance is
// measured on the observer's clock, from the time at which its heartbeat last increased, so the clocks of instances
// need not agree:
//
//	alive --3 s without a new heartbeat, or a refused connection--> suspect --3 s more--> dead --10 min--> removed
//
// Above 64 instances the times until suspect and dead grow in proportion to the number of instances. A pause of the
// observer would look like silence of all other instances, so a late tick moves the times of their last heartbeats
// forward by the missed time. A message contains the observer's own row, a few other rows, and the heartbeats of
// further instances without their rows. The numbers of both are limited, and recently changed ones are preferred, so
// the size of a message does not grow with the number of instances.

package mtmembership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// The states of an instance, as the status reports them.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
	Leaving = "leaving"
)

// maxUnscaledInstances is the number of instances up to which each receives a new heartbeat of each other about once a
// second, so the time-outs need no scaling.
const maxUnscaledInstances = 64

// View is what one entry instance knows of all entry instances. It is not safe for concurrent use.
type View struct {
	self         *peerv1.Row
	peers        map[string]*peerState
	tickInterval time.Duration
	suspectAfter time.Duration
	deadAfter    time.Duration
	removeAfter  time.Duration
	lastTick     time.Time
}

type peerState struct {
	row *peerv1.Row
	// heartbeat is the highest heartbeat received; the one in the row may be lower.
	heartbeat uint64
	// heartbeatAt is when the heartbeat last increased.
	heartbeatAt time.Time
	// changedAt is when a field of the row that isSame compares last changed.
	changedAt time.Time
}

// Option configures a new view.
type Option func(*View)

// WithFailureTimeouts sets for how long an instance must be silent to be suspect and to be dead.
func WithFailureTimeouts(suspectAfter, deadAfter time.Duration) Option {
	return func(v *View) {
		v.suspectAfter = suspectAfter
		v.deadAfter = deadAfter
	}
}

// WithTickInterval sets the time between two ticks.
func WithTickInterval(interval time.Duration) Option {
	return func(v *View) {
		v.tickInterval = interval
	}
}

// NewView returns a view that contains only the row of its own instance.
func NewView(self *peerv1.Row, options ...Option) *View {
	view := &View{
		self:         self,
		peers:        map[string]*peerState{},
		tickInterval: time.Second,
		suspectAfter: 3 * time.Second,
		deadAfter:    6 * time.Second,
		removeAfter:  10 * time.Minute,
	}
	for _, option := range options {
		option(view)
	}
	return view
}

// Tick increments the heartbeat of this instance and removes peers that have been silent too long. It returns for how
// long this process was paused since the last tick, or 0.
func (v *View) Tick(now time.Time) time.Duration {
	missed := time.Duration(0)
	if elapsed := now.Sub(v.lastTick); !v.lastTick.IsZero() && elapsed > 2*v.tickInterval {
		missed = elapsed - v.tickInterval
		for _, peer := range v.peers {
			peer.heartbeatAt = peer.heartbeatAt.Add(missed)
		}
	}
	v.lastTick = now
	v.self.Heartbeat++
	for name, peer := range v.peers {
		if now.Sub(peer.heartbeatAt) > v.removeAfter {
			delete(v.peers, name)
		}
	}
	return missed
}

// SelfRow returns the row of this instance, whose other fields the caller sets.
func (v *View) SelfRow() *peerv1.Row {
	return v.self
}

// Merge merges a message of another instance and returns the names of the instances that are new or were replaced by
// another process.
func (v *View) Merge(message *peerv1.Gossip, now time.Time) []string {
	var added []string
	v.mergeBeats(message.GetBeats(), now)
	for _, row := range message.GetRows() {
		if row.GetInstance() == v.self.GetInstance() {
			v.refute(row)
			continue
		}
		if v.mergeRow(row, now) {
			added = append(added, row.GetInstance())
		}
	}
	return added
}

// mergeBeats merges the heartbeats of instances whose rows are known.
func (v *View) mergeBeats(beats []*peerv1.Beat, now time.Time) {
	if len(beats) == 0 {
		return
	}
	heartbeats := make(map[uint32]uint64, len(beats))
	for _, beat := range beats {
		heartbeats[beat.GetWho()] = beat.GetHeartbeat()
	}
	for _, peer := range v.peers {
		peer.advanceHeartbeat(heartbeats[uint32(peer.row.GetIncarnation())], now)
	}
}

func (p *peerState) advanceHeartbeat(heartbeat uint64, now time.Time) {
	if heartbeat > p.heartbeat {
		p.heartbeat = heartbeat
		p.heartbeatAt = now
	}
}

// ConnectionRefused records that the instance at a control address refuses connections: it is suspect until its next heartbeat.
func (v *View) ConnectionRefused(control string, now time.Time) {
	for _, peer := range v.peers {
		latest := now.Add(-v.scaledTimeout(v.suspectAfter) - 1)
		if peer.row.GetControl() == control && peer.heartbeatAt.After(latest) {
			peer.heartbeatAt = latest
		}
	}
}

// refute raises the epoch of this instance above that of an earlier process of the same name. The row of that process
// has the higher epoch if the clock was set back before the restart.
func (v *View) refute(row *peerv1.Row) {
	if row.GetIncarnation() != v.self.GetIncarnation() && row.GetEpoch() >= v.self.GetEpoch() {
		v.self.Epoch = row.GetEpoch() + 1
	}
}

// mergeRow stores a row if it is newer than the known one, and reports whether its instance is new or another process.
func (v *View) mergeRow(row *peerv1.Row, now time.Time) bool {
	known := v.peers[row.GetInstance()]
	if known != nil && !isNewer(row, known.row) {
		return false
	}
	if known == nil || known.row.GetIncarnation() != row.GetIncarnation() {
		v.peers[row.GetInstance()] = &peerState{
			row:         row,
			heartbeat:   row.GetHeartbeat(),
			heartbeatAt: now,
			changedAt:   now,
		}
		return true
	}
	if !isSame(known.row, row) {
		known.changedAt = now
	}
	known.row = row
	known.advanceHeartbeat(row.GetHeartbeat(), now)
	return false
}

// isSame reports whether two rows agree in the fields whose changes must reach the other instances quickly.
func isSame(a, b *peerv1.Row) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetApplied() == b.GetApplied() &&
		a.GetReady() == b.GetReady() && a.GetLeaving() == b.GetLeaving()
}

// isNewer reports whether row a is newer than row b of the same instance.
func isNewer(a, b *peerv1.Row) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetHeartbeat() > b.GetHeartbeat()
}

// GossipMessage returns the message for a peer: the row of this instance, at most maxRows-1 other rows, and the heartbeats of
// at most maxBeats instances.
//
// Up to half of the other rows are the last ones to have changed; the rest is chosen at random, so that every row is
// sent eventually.
func (v *View) GossipMessage(maxRows, maxBeats int, random *rand.Rand) *peerv1.Gossip {
	others := make([]*peerState, 0, len(v.peers))
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		others = append(others, v.peers[name])
	}
	random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	message := &peerv1.Gossip{
		Rows: []*peerv1.Row{v.self},
	}
	byChange := slices.Clone(others)
	slices.SortStableFunc(byChange, func(a, b *peerState) int {
		return b.changedAt.Compare(a.changedAt)
	})
	for _, peer := range byChange[:min(len(byChange), (maxRows-1)/2)] {
		message.Rows = append(message.Rows, peer.row)
	}
	for _, peer := range others {
		if len(message.Rows) < maxRows && !slices.Contains(message.Rows, peer.row) {
			message.Rows = append(message.Rows, peer.row)
		}
	}
	slices.SortStableFunc(others, func(a, b *peerState) int {
		return b.heartbeatAt.Compare(a.heartbeatAt)
	})
	for _, peer := range others[:min(len(others), maxBeats)] {
		message.Beats = append(message.Beats, &peerv1.Beat{
			Who:       uint32(peer.row.GetIncarnation()),
			Heartbeat: peer.heartbeat,
		})
	}
	return message
}

// InstanceState returns the state of an instance and the time since its heartbeat last increased. An unknown instance is dead.
func (v *View) InstanceState(instance string, now time.Time) (state string, silence time.Duration) {
	if instance == v.self.GetInstance() {
		return stateOf(v.self, Alive), 0
	}
	peer := v.peers[instance]
	if peer == nil {
		return Dead, v.removeAfter
	}
	silence = now.Sub(peer.heartbeatAt)
	switch {
	case silence > v.scaledTimeout(v.deadAfter):
		return Dead, silence
	case silence > v.scaledTimeout(v.suspectAfter):
		return Suspect, silence
	default:
		return stateOf(peer.row, Alive), silence
	}
}

// scaledTimeout lengthens a time-out if there are more instances than the messages of one round carry heartbeats for.
func (v *View) scaledTimeout(timeout time.Duration) time.Duration {
	return max(timeout, timeout*time.Duration(len(v.peers))/maxUnscaledInstances)
}

// stateOf returns Leaving for an instance that leaves, and otherwise the given state.
func stateOf(row *peerv1.Row, state string) string {
	if row.GetLeaving() {
		return Leaving
	}
	return state
}

// Rows returns the rows of all known instances, this one included, sorted by name.
func (v *View) Rows() []*peerv1.Row {
	rows := []*peerv1.Row{v.self}
	for _, peer := range v.peers {
		rows = append(rows, peer.row)
	}
	slices.SortFunc(rows, func(a, b *peerv1.Row) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return rows
}

// RowsInStates returns the rows of the instances in one of the states, possibly including this one, sorted by name.
func (v *View) RowsInStates(now time.Time, states ...string) []*peerv1.Row {
	return slices.DeleteFunc(v.Rows(), func(row *peerv1.Row) bool {
		state, _ := v.InstanceState(row.GetInstance(), now)
		return !slices.Contains(states, state)
	})
}

// PickPartners returns the control addresses of randomly chosen instances to exchange messages with in one round: one in
// the same data centre and one in another.
//
// Dead instances are chosen too, with a lower probability, so that two halves of a network partition find each other
// afterwards.
func (v *View) PickPartners(now time.Time, random *rand.Rand) []string {
	var sameCentre, otherCentres []string
	for _, row := range v.Rows() {
		state, _ := v.InstanceState(row.GetInstance(), now)
		if row == v.self || state == Dead && random.IntN(8) > 0 {
			continue
		}
		if row.GetCentre() == v.self.GetCentre() {
			sameCentre = append(sameCentre, row.GetControl())
		} else {
			otherCentres = append(otherCentres, row.GetControl())
		}
	}
	var partners []string
	for _, group := range [][]string{sameCentre, otherCentres} {
		if len(group) > 0 {
			partners = append(partners, group[random.IntN(len(group))])
		}
	}
	return partners
}
