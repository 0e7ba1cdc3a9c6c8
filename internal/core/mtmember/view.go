// Each instance owns one row and raises its heartbeat once a round. Rows travel by push and pull; a row replaces an older
// one by (epoch, heartbeat). Silence is judged on the observer's own clock, from the moment at which a row last
// advanced, so clocks need not agree:
//
//	alive --3 s without an advance, or a refused connection--> suspect --3 s more--> dead --10 min--> forgotten
//
// Above 64 instances the times grow with the fleet. A pause of the observer would look like the silence of everybody else, so a tick that comes late moves all these
// moments by the time that was missed. A message holds the own row, a few others and the bare heartbeats of more, each up
// to a fixed number and drawn from the rows that advanced lately, so its cost does not grow with the fleet.

package mtmember

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// The states of an instance as strings that status reports.
const (
	Alive   = "alive"
	Suspect = "suspect"
	Dead    = "dead"
	Leaving = "leaving"
)

// smallFleet is the number of instances up to which each hears of each other about once a second.
const smallFleet = 64

// View is what one entry instance knows of all.
type View struct {
	self         *peerv1.Row
	rows         map[string]*seen
	period       time.Duration
	suspectAfter time.Duration
	deadAfter    time.Duration
	forgetAfter  time.Duration
	ticked       time.Time
}

type seen struct {
	row *peerv1.Row
	// heartbeat is the highest one heard of; the row itself may be older.
	heartbeat uint64
	// advanced is when the heartbeat last rose, and changed when anything else of the row did.
	advanced time.Time
	changed  time.Time
}

// Option changes a view under construction.
type Option func(*View)

// WithSilence sets after which silence an instance is suspected and held for dead.
func WithSilence(suspect, dead time.Duration) Option {
	return func(v *View) {
		v.suspectAfter = suspect
		v.deadAfter = dead
	}
}

// WithPeriod sets the time between two ticks.
func WithPeriod(period time.Duration) Option {
	return func(v *View) {
		v.period = period
	}
}

// NewView returns the view of an instance that knows only itself.
func NewView(self *peerv1.Row, options ...Option) *View {
	view := &View{
		self:         self,
		rows:         map[string]*seen{},
		period:       time.Second,
		suspectAfter: 3 * time.Second,
		deadAfter:    6 * time.Second,
		forgetAfter:  10 * time.Minute,
	}
	for _, option := range options {
		option(view)
	}
	return view
}

// Tick raises the own heartbeat and reports how long the observer itself was paused.
func (v *View) Tick(now time.Time) time.Duration {
	missed := time.Duration(0)
	if late := now.Sub(v.ticked); !v.ticked.IsZero() && late > 2*v.period {
		missed = late - v.period
		for _, found := range v.rows {
			found.advanced = found.advanced.Add(missed)
		}
	}
	v.ticked = now
	v.self.Heartbeat++
	for name, found := range v.rows {
		if now.Sub(found.advanced) > v.forgetAfter {
			delete(v.rows, name)
		}
	}
	return missed
}

// Self returns the own row, to be filled in by the owner.
func (v *View) Self() *peerv1.Row {
	return v.self
}

// Merge takes in a message of another instance and returns the names of the instances that are new or were replaced.
func (v *View) Merge(message *peerv1.Gossip, now time.Time) []string {
	var arrived []string
	v.beat(message.GetBeats(), now)
	for _, row := range message.GetRows() {
		if row.GetInstance() == v.self.GetInstance() {
			v.refute(row)
			continue
		}
		if v.take(row, now) {
			arrived = append(arrived, row.GetInstance())
		}
	}
	return arrived
}

// beat raises the heartbeats of rows that are known.
func (v *View) beat(beats []*peerv1.Beat, now time.Time) {
	if len(beats) == 0 {
		return
	}
	heard := make(map[uint32]uint64, len(beats))
	for _, beat := range beats {
		heard[beat.GetWho()] = beat.GetHeartbeat()
	}
	for _, found := range v.rows {
		found.raise(heard[uint32(found.row.GetIncarnation())], now)
	}
}

func (s *seen) raise(heartbeat uint64, now time.Time) {
	if heartbeat > s.heartbeat {
		s.heartbeat = heartbeat
		s.advanced = now
	}
}

// Refused records that the instance at a control address takes no connection: it is suspected at once, and its next
// heartbeat clears it.
func (v *View) Refused(control string, now time.Time) {
	for _, found := range v.rows {
		latest := now.Add(-v.patience(v.suspectAfter) - 1)
		if found.row.GetControl() == control && found.advanced.After(latest) {
			found.advanced = latest
		}
	}
}

// refute outbids the row of an earlier process of the own name; a clock that stepped back leaves one with a higher epoch.
func (v *View) refute(row *peerv1.Row) {
	if row.GetIncarnation() != v.self.GetIncarnation() && row.GetEpoch() >= v.self.GetEpoch() {
		v.self.Epoch = row.GetEpoch() + 1
	}
}

func (v *View) take(row *peerv1.Row, now time.Time) bool {
	found := v.rows[row.GetInstance()]
	if found != nil && !isNewer(row, found.row) {
		return false
	}
	if found == nil || found.row.GetIncarnation() != row.GetIncarnation() {
		v.rows[row.GetInstance()] = &seen{
			row:       row,
			heartbeat: row.GetHeartbeat(),
			advanced:  now,
			changed:   now,
		}
		return true
	}
	if !isSame(found.row, row) {
		found.changed = now
	}
	found.row = row
	found.raise(row.GetHeartbeat(), now)
	return false
}

// isSame reports whether two rows tell the same of what others must learn soon.
func isSame(a, b *peerv1.Row) bool {
	return a.GetIncarnation() == b.GetIncarnation() && a.GetApplied() == b.GetApplied() &&
		a.GetReady() == b.GetReady() && a.GetLeaving() == b.GetLeaving()
}

func isNewer(a, b *peerv1.Row) bool {
	if a.GetEpoch() != b.GetEpoch() {
		return a.GetEpoch() > b.GetEpoch()
	}
	return a.GetHeartbeat() > b.GetHeartbeat()
}

// Message returns what to send to a peer: the own row and at most rows-1 others, and the heartbeats of at most beats more.
//
// Rows that changed lately come first; the order is drawn among the rest, so that none waits for ever.
func (v *View) Message(rows, beats int, random *rand.Rand) *peerv1.Gossip {
	others := make([]*seen, 0, len(v.rows))
	for _, name := range slices.Sorted(maps.Keys(v.rows)) {
		others = append(others, v.rows[name])
	}
	random.Shuffle(len(others), func(i, j int) {
		others[i], others[j] = others[j], others[i]
	})
	message := &peerv1.Gossip{
		Rows: []*peerv1.Row{v.self},
	}
	byChange := slices.Clone(others)
	slices.SortStableFunc(byChange, func(a, b *seen) int {
		return b.changed.Compare(a.changed)
	})
	for _, found := range byChange[:min(len(byChange), (rows-1)/2)] {
		message.Rows = append(message.Rows, found.row)
	}
	for _, found := range others {
		if len(message.Rows) < rows && !slices.Contains(message.Rows, found.row) {
			message.Rows = append(message.Rows, found.row)
		}
	}
	slices.SortStableFunc(others, func(a, b *seen) int {
		return b.advanced.Compare(a.advanced)
	})
	for _, found := range others[:min(len(others), beats)] {
		message.Beats = append(message.Beats, &peerv1.Beat{
			Who:       uint32(found.row.GetIncarnation()),
			Heartbeat: found.heartbeat,
		})
	}
	return message
}

// State returns the state of an instance, and for how long its row has not advanced.
func (v *View) State(instance string, now time.Time) (state string, silence time.Duration) {
	if instance == v.self.GetInstance() {
		return stateOf(v.self, Alive), 0
	}
	found := v.rows[instance]
	if found == nil {
		return Dead, v.forgetAfter
	}
	silence = now.Sub(found.advanced)
	switch {
	case silence > v.patience(v.deadAfter):
		return Dead, silence
	case silence > v.patience(v.suspectAfter):
		return Suspect, silence
	default:
		return stateOf(found.row, Alive), silence
	}
}

// patience lengthens a silence in a fleet whose heartbeats no longer all fit into the messages of one round.
func (v *View) patience(silence time.Duration) time.Duration {
	return max(silence, silence*time.Duration(len(v.rows))/smallFleet)
}

func stateOf(row *peerv1.Row, state string) string {
	if row.GetLeaving() {
		return Leaving
	}
	return state
}

// Known returns the rows of all instances, itself included, by name.
func (v *View) Known() []*peerv1.Row {
	rows := []*peerv1.Row{v.self}
	for _, found := range v.rows {
		rows = append(rows, found.row)
	}
	slices.SortFunc(rows, func(a, b *peerv1.Row) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return rows
}

// Live returns the rows of the instances in one of the states, itself included, by name.
func (v *View) Live(now time.Time, states ...string) []*peerv1.Row {
	return slices.DeleteFunc(v.Known(), func(row *peerv1.Row) bool {
		state, _ := v.State(row.GetInstance(), now)
		return !slices.Contains(states, state)
	})
}

// Partners draws the control addresses of the instances for one round: one in the own data centre, one elsewhere.
//
// Dead instances are drawn now and then, so that two halves that lost each other meet again.
func (v *View) Partners(now time.Time, random *rand.Rand) []string {
	var near, far []string
	for _, row := range v.Known() {
		state, _ := v.State(row.GetInstance(), now)
		if row == v.self || state == Dead && random.IntN(8) > 0 {
			continue
		}
		if row.GetCentre() == v.self.GetCentre() {
			near = append(near, row.GetControl())
		} else {
			far = append(far, row.GetControl())
		}
	}
	var partners []string
	for _, group := range [][]string{near, far} {
		if len(group) > 0 {
			partners = append(partners, group[random.IntN(len(group))])
		}
	}
	return partners
}
