// An entry that is removed while the store is reachable means that its endpoint has left. An entry that is removed
// during or right after an interruption of the store may only have expired because the endpoint could not renew it.
// Such an endpoint stays in use until it has had time to register again.
//
//	removed, store reachable                  -> gone at once
//	removed, store interrupted until recently -> lapsed -- registered again --> present
//	                                                    \- still missing after reregisterTimeout --> gone

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
	ID      string
	Born    int64
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

// LeaveMark identifies a process of an endpoint that has announced that it leaves.
type LeaveMark struct {
	ID   string
	Born int64
}

// Registry holds the entries of all endpoints by ID. It is not safe for concurrent use.
type Registry struct {
	entries map[string]*registration
	// leaveMarks maps each mark to the time at which it was set, or at which its entry was last present.
	leaveMarks map[LeaveMark]time.Time
	// unsteadyUntil is the end of the time in which a removed entry is treated as lapsed.
	unsteadyUntil time.Time
}

type registration struct {
	entry Entry
	// warmAt is when the warm-up of the endpoint ends.
	warmAt time.Time
	// isStoredDraining is set when the entry in the store says that the endpoint drains.
	isStoredDraining bool
	// lapsedAt is when the entry lapsed; zero while it is present.
	lapsedAt time.Time
}

// NewRegistry returns a registry without entries.
func NewRegistry() *Registry {
	return &Registry{
		entries:    map[string]*registration{},
		leaveMarks: map[LeaveMark]time.Time{},
	}
}

// StoreInterrupted records that the store was not reachable, or its data not complete, at now.
func (r *Registry) StoreInterrupted(now time.Time) {
	r.unsteadyUntil = now.Add(reregisterTimeout)
}

// Put adds an entry or replaces the one with its ID. The endpoint drains if the entry says so or if it is marked as
// leaving.
func (r *Registry) Put(entry Entry, now time.Time) {
	found := r.entries[entry.ID]
	if found == nil {
		found = &registration{}
		r.entries[entry.ID] = found
	}
	found.entry = entry
	found.isStoredDraining = entry.Draining
	if mark := markOf(entry); !r.leaveMarks[mark].IsZero() {
		found.entry.Draining = true
	}
	found.warmAt = now.Add(entry.WarmUp)
	found.lapsedAt = time.Time{}
}

// Remove removes an entry and reports whether it did. During and right after an interruption of the store, an entry
// that does not drain becomes lapsed instead.
func (r *Registry) Remove(id string, now time.Time) bool {
	found := r.entries[id]
	if found == nil {
		return false
	}
	if now.Before(r.unsteadyUntil) && !found.entry.Draining {
		if found.lapsedAt.IsZero() {
			found.lapsedAt = now
		}
		return false
	}
	delete(r.entries, id)
	return true
}

// RetainOnly calls Remove for all entries but those with one of the IDs.
func (r *Registry) RetainOnly(ids map[string]bool, now time.Time) {
	for id := range r.entries {
		if !ids[id] {
			r.Remove(id, now)
		}
	}
}

// markOf returns the mark that the process of an entry has if it is leaving.
func markOf(entry Entry) LeaveMark {
	return LeaveMark{
		ID:   entry.ID,
		Born: entry.Born,
	}
}

// MarkLeaving marks the process of an endpoint as leaving, and reports whether it was not marked before. The process stays
// marked whatever its entry says later.
func (r *Registry) MarkLeaving(mark LeaveMark, now time.Time) bool {
	if !r.leaveMarks[mark].IsZero() {
		return false
	}
	r.leaveMarks[mark] = now
	if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark {
		found.entry.Draining = true
	}
	return true
}

// UnpublishedLeaveMarks returns the marks of leaving processes whose entries in the store don't say that they drain, sorted by ID.
func (r *Registry) UnpublishedLeaveMarks() []LeaveMark {
	var marks []LeaveMark
	for mark := range r.leaveMarks {
		if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark && !found.isStoredDraining {
			marks = append(marks, mark)
		}
	}
	slices.SortFunc(marks, func(a, b LeaveMark) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return marks
}

// ForgetExpiredLeaveMarks removes the marks of processes that have had no entry for longer than leaveMarkTTL.
func (r *Registry) ForgetExpiredLeaveMarks(now time.Time) {
	for mark, lastSeen := range r.leaveMarks {
		if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark {
			r.leaveMarks[mark] = now
		} else if now.Sub(lastSeen) > leaveMarkTTL {
			delete(r.leaveMarks, mark)
		}
	}
}

// ExpireLapsed removes the lapsed entries that were not registered again within reregisterTimeout, and returns their IDs.
func (r *Registry) ExpireLapsed(now time.Time) []string {
	var expired []string
	for id, found := range r.entries {
		if !found.lapsedAt.IsZero() && now.After(r.unsteadyUntil) && now.Sub(found.lapsedAt) > reregisterTimeout {
			delete(r.entries, id)
			expired = append(expired, id)
		}
	}
	return expired
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
