// An entry that is removed while the store is reachable means that its endpoint has left. An entry that is removed
// during or right after an interruption of the store may only have expired because the endpoint could not renew it.
// Such an endpoint stays in use until it has had time to register again.
//
//	removed, store reachable                  -> gone at once
//	removed, store interrupted until recently -> lapsed -- registered again --> present
//	                                                    \- still missing reregisterTimeout after the interruption --> gone
//
// Endpoints count their entries. The store may execute a write seconds after it was sent, so an entry that was written
// before the one in use does not replace it:
//
//	older count of the same process -> the entry in use stays
//	earlier process                 -> the entry in use stays until its process has had time to register again
//
// A store that is restored from a copy begins a new era. The copy may list endpoints that have left since, and older
// entries of those that have not:
//
//	missing in the copy                                 -> lapsed, as above
//	listed with an older count than the entry in use    -> the entry in use stays
//	listed with no later count than when it was removed -> marked as leaving; a later count brings it back

package mtregistry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reregisterTimeout is how long an endpoint has to register again after an interruption of the store. The platform
	// guarantees two seconds.
	reregisterTimeout = 2200 * time.Millisecond
)

// Entry is the registration of an endpoint in the store.
type Entry struct {
	// ID identifies the endpoint, and Born distinguishes processes with the same ID.
	ID   string
	Born int64
	// Seq counts the entries that the process has written.
	Seq     int64
	Service string
	Address string
	Centre  string
	Slots   int
	// Draining is set when the endpoint takes no new requests.
	Draining bool
	// WarmUp is how long the endpoint is still slow after its start, counted from the time at which the entry was read.
	WarmUp time.Duration
}

// leaveMarkTTL is how long the mark of a leaving endpoint is kept while it has no entry, because an entry that has
// lapsed may appear in the store again.
const leaveMarkTTL = 10 * time.Minute

// LeaveMark identifies a process of an endpoint that has announced that it leaves, or that had left before the store
// was restored from a copy that lists it.
type LeaveMark struct {
	ID   string
	Born int64
	// ThroughSeq is the count of the last entry that the mark applies to, or 0 if it applies to all entries of the
	// process.
	ThroughSeq int64
}

// process identifies a process of an endpoint.
type process struct {
	id   string
	born int64
}

// leaveMark is the state of a LeaveMark.
type leaveMark struct {
	throughSeq int64
	// lastSeen is when the mark was set, or when the process last had an entry.
	lastSeen time.Time
}

// appliesTo reports whether the mark applies to an entry of the process.
func (m leaveMark) appliesTo(entry Entry) bool {
	return m.throughSeq == 0 || entry.Seq <= m.throughSeq
}

// removal records that the entry of a process was removed.
type removal struct {
	lastSeq  int64
	draining bool
	era      uint64
	at       time.Time
}

// follows reports whether the removal came after an entry of the process was written. An entry with the same count may
// be listed again after it lapsed.
func (m removal) follows(entry Entry, era uint64) bool {
	return entry.Seq < m.lastSeq || entry.Seq == m.lastSeq && (m.draining || m.era < era)
}

// Registry holds the entries of all endpoints by ID. It is not safe for concurrent use.
type Registry struct {
	entries    map[string]*registration
	leaveMarks map[process]leaveMark
	// removals contains the processes whose entries were removed.
	removals map[process]removal
	// era is the era of the store that entries are put and removed in.
	era uint64
	// unsteadyUntil is the end of the time in which a removed entry is treated as lapsed.
	unsteadyUntil time.Time
}

type registration struct {
	entry Entry
	// era is the era of the store in which the entry was read.
	era uint64
	// warmAt is when the warm-up of the endpoint ends.
	warmAt time.Time
	// isStoredDraining is set when the entry in the store says that the endpoint drains.
	isStoredDraining bool
	// expiresAt is when a lapsed entry expires at the earliest; zero while the entry is present in the store.
	expiresAt time.Time
	// withheld is an entry of an earlier process that the store lists in place of this one, or nil.
	withheld *Entry
}

// NewRegistry returns a registry without entries.
func NewRegistry() *Registry {
	return &Registry{
		entries:    map[string]*registration{},
		leaveMarks: map[process]leaveMark{},
		removals:   map[process]removal{},
	}
}

// BeginEra sets the era that the following calls of Put and Remove belong to. When it is later than that of the known
// entries, endpoints may register again as after an interruption.
func (r *Registry) BeginEra(era uint64, now time.Time) {
	if era <= r.era {
		return
	}
	r.era = era
	if len(r.entries) > 0 {
		r.StoreInterrupted(now)
	}
}

// StoreInterrupted records that the store was not reachable, or its data not complete, until the given time.
func (r *Registry) StoreInterrupted(until time.Time) {
	if unsteadyUntil := until.Add(reregisterTimeout); unsteadyUntil.After(r.unsteadyUntil) {
		r.unsteadyUntil = unsteadyUntil
	}
}

// Put adds an entry or replaces the one with its ID, unless that one was written later. The endpoint drains if the entry
// says so or if it is marked as leaving.
func (r *Registry) Put(entry Entry, now time.Time) {
	found := r.entries[entry.ID]
	if found == nil {
		found = &registration{}
		r.entries[entry.ID] = found
		r.applyRemoval(entry, now)
	} else if entry.IsOlderThan(found.entry) {
		r.keepNewer(found, entry, now)
		return
	} else if found.entry.Born != entry.Born {
		r.recordRemoval(found.entry, found.era, now)
	}
	found.entry = entry
	found.era = r.era
	found.isStoredDraining = entry.Draining
	found.entry.Draining = entry.Draining || r.isMarked(entry)
	found.warmAt = now.Add(entry.WarmUp)
	found.expiresAt = time.Time{}
	found.withheld = nil
}

// IsOlderThan reports whether an entry was written before another entry of the same endpoint. A process that drains does
// not become ready again.
func (e Entry) IsOlderThan(other Entry) bool {
	order := cmp.Or(cmp.Compare(e.Born, other.Born), cmp.Compare(e.Seq, other.Seq))
	return order < 0 || order == 0 && other.Draining && !e.Draining
}

// keepNewer handles an older entry that the store lists. The entry in use stays; if it is of a later process, the store
// does not list that one, and it lapses unless it registers again.
func (r *Registry) keepNewer(found *registration, older Entry, now time.Time) {
	if older.Born != found.entry.Born && found.era < r.era {
		r.recordRemoval(older, found.era, now)
		r.Remove(older.ID, now)
		return
	}
	if older.Born == 0 && found.entry.Born != 0 {
		// An endpoint always states its start time, so this entry is of another writer.
		return
	}
	if older.Born != found.entry.Born {
		// The clock of the endpoint may also have been set back before it started again.
		found.expiresAt = now.Add(reregisterTimeout)
		found.withheld = &older
		return
	}
	found.expiresAt = time.Time{}
	found.withheld = nil
	found.isStoredDraining = older.Draining
	if found.entry.Draining {
		r.MarkLeaving(LeaveMark{
			ID:         found.entry.ID,
			Born:       found.entry.Born,
			ThroughSeq: found.entry.Seq,
		}, now)
	}
}

// applyRemoval marks a process as leaving if its entry was removed and this entry was written before.
func (r *Registry) applyRemoval(entry Entry, now time.Time) {
	key := processOf(entry)
	removed, wasRemoved := r.removals[key]
	if !wasRemoved {
		return
	}
	delete(r.removals, key)
	if removed.follows(entry, r.era) {
		r.MarkLeaving(LeaveMark{
			ID:         entry.ID,
			Born:       entry.Born,
			ThroughSeq: removed.lastSeq,
		}, now)
	}
}

// isMarked reports whether a mark applies to an entry.
func (r *Registry) isMarked(entry Entry) bool {
	mark, found := r.leaveMarks[processOf(entry)]
	return found && mark.appliesTo(entry)
}

// Remove removes an entry and reports whether it did. During and right after an interruption of the store, an entry
// that does not drain becomes lapsed instead.
func (r *Registry) Remove(id string, now time.Time) bool {
	found := r.entries[id]
	if found == nil {
		return false
	}
	found.withheld = nil
	if now.Before(r.unsteadyUntil) && !found.entry.Draining {
		if found.expiresAt.IsZero() {
			found.expiresAt = now
		}
		return false
	}
	r.delete(found, now)
	return true
}

// delete deletes an entry and records its removal.
func (r *Registry) delete(found *registration, now time.Time) {
	delete(r.entries, found.entry.ID)
	r.recordRemoval(found.entry, r.era, now)
}

func (r *Registry) recordRemoval(entry Entry, era uint64, now time.Time) {
	r.removals[processOf(entry)] = removal{
		lastSeq:  entry.Seq,
		draining: entry.Draining,
		era:      era,
		at:       now,
	}
}

// Missing returns the IDs of the entries, lapsed ones included, that are not in a set, sorted.
func (r *Registry) Missing(present map[string]bool) []string {
	var missing []string
	for id := range r.entries {
		if !present[id] {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

func processOf(entry Entry) process {
	return process{
		id:   entry.ID,
		born: entry.Born,
	}
}

// MarkLeaving marks the process of an endpoint as leaving, and reports whether it was not marked before. The process stays
// marked whatever its entry says later, except by an entry that the mark does not apply to.
func (r *Registry) MarkLeaving(mark LeaveMark, now time.Time) bool {
	key := process{
		id:   mark.ID,
		born: mark.Born,
	}
	known, isKnown := r.leaveMarks[key]
	if isKnown && (known.throughSeq == 0 || mark.ThroughSeq != 0 && mark.ThroughSeq <= known.throughSeq) {
		return false
	}
	r.leaveMarks[key] = leaveMark{
		throughSeq: mark.ThroughSeq,
		lastSeen:   now,
	}
	if found := r.entries[mark.ID]; found != nil && processOf(found.entry) == key && r.isMarked(found.entry) {
		found.entry.Draining = true
	}
	return true
}

// IsLeaving reports whether the registry holds an entry of a process that drains.
func (r *Registry) IsLeaving(id string, born int64) bool {
	found := r.entries[id]
	return found != nil && found.entry.Born == born && found.entry.Draining
}

// UnpublishedLeaveMarks returns the marks of leaving processes whose entries in the store don't say that they drain, sorted by ID.
func (r *Registry) UnpublishedLeaveMarks() []LeaveMark {
	var marks []LeaveMark
	for key, mark := range r.leaveMarks {
		found := r.entries[key.id]
		if found != nil && processOf(found.entry) == key && !found.isStoredDraining && mark.appliesTo(found.entry) {
			marks = append(marks, LeaveMark{
				ID:         key.id,
				Born:       key.born,
				ThroughSeq: mark.throughSeq,
			})
		}
	}
	slices.SortFunc(marks, func(a, b LeaveMark) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return marks
}

// ForgetExpiredLeaveMarks removes the marks and the removals of processes that have had no entry for longer than
// leaveMarkTTL.
func (r *Registry) ForgetExpiredLeaveMarks(now time.Time) {
	for key, mark := range r.leaveMarks {
		if found := r.entries[key.id]; found != nil && processOf(found.entry) == key {
			mark.lastSeen = now
			r.leaveMarks[key] = mark
		} else if now.Sub(mark.lastSeen) > leaveMarkTTL {
			delete(r.leaveMarks, key)
		}
	}
	for key, removed := range r.removals {
		if now.Sub(removed.at) > leaveMarkTTL {
			delete(r.removals, key)
		}
	}
}

// ExpireLapsed removes the lapsed entries that were not registered again within reregisterTimeout of the end of the
// interruption, and returns their IDs. Entries that were withheld take their places.
func (r *Registry) ExpireLapsed(now time.Time) []string {
	var expired []string
	var withheld []Entry
	for id, found := range r.entries {
		if found.expiresAt.IsZero() || !now.After(found.expiresAt) || !now.After(r.unsteadyUntil) {
			continue
		}
		r.delete(found, now)
		expired = append(expired, id)
		if found.withheld != nil {
			withheld = append(withheld, *found.withheld)
		}
	}
	for _, entry := range withheld {
		r.Put(entry, now)
	}
	return expired
}

// EntryInUse returns the entry of an endpoint, lapsed or not.
func (r *Registry) EntryInUse(id string) (entry Entry, found bool) {
	registered := r.entries[id]
	if registered == nil {
		return Entry{}, false
	}
	return registered.entry, true
}

// Has reports whether the registry holds an entry with an ID, lapsed entries included.
func (r *Registry) Has(id string) bool {
	return r.entries[id] != nil
}

// Len returns the number of entries, lapsed ones included.
func (r *Registry) Len() int {
	return len(r.entries)
}

// ForEachEntry calls visit with each entry, lapsed ones included, and the time at which its warm-up ends.
func (r *Registry) ForEachEntry(visit func(entry Entry, warmAt time.Time)) {
	for _, found := range r.entries {
		visit(found.entry, found.warmAt)
	}
}
