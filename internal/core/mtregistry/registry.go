// An entry that is removed while the store works means that its endpoint has left. An entry that expired because the
// endpoint could not reach the store means nothing: the endpoint stays in use until it has had time to register again.
//
//	removed, store steady             -> gone at once
//	removed, store away or just back  -> lapsed -- registered again --> present
//	                                            \- still missing after lapseGrace --> gone

package mtregistry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapseGrace is how long an endpoint has to register again after the store's return; the platform promises two seconds.
	lapseGrace = 2200 * time.Millisecond
)

// Entry is what an endpoint says of itself.
type Entry struct {
	// ID names one incarnation of the endpoint, and Born tells incarnations of the same ID apart.
	ID      string
	Born    int64
	Service string
	Address string
	Centre  string
	Slots   int
	// Draining is set when the endpoint takes no new requests.
	Draining bool
	// WarmUp is how long the endpoint stays slow after its start, counted from the moment it was read.
	WarmUp time.Duration
}

// markLife is how long the word of an endpoint that leaves is kept when its entry is no longer there: the store may still
// bring back an entry that has lapsed.
const markLife = 10 * time.Minute

// Mark says that one incarnation of an endpoint has said that it leaves.
type Mark struct {
	ID   string
	Born int64
}

// Registry holds the entries by ID.
type Registry struct {
	entries map[string]*kept
	// marks hold when each mark was set, or when its entry was last seen.
	marks map[Mark]time.Time
	// unsteady is until when a removal may be a lapse.
	unsteady time.Time
}

type kept struct {
	entry Entry
	warm  time.Time
	// said is set when the entry itself says that the endpoint drains.
	said bool
	// lapsed is when the entry went missing; zero while it is present.
	lapsed time.Time
}

// NewRegistry returns a registry without entries.
func NewRegistry() *Registry {
	return &Registry{
		entries: map[string]*kept{},
		marks:   map[Mark]time.Time{},
	}
}

// Interrupted records that the store was not reachable or not whole at now.
func (r *Registry) Interrupted(now time.Time) {
	r.unsteady = now.Add(lapseGrace)
}

// Put adds or replaces an entry.
func (r *Registry) Put(entry Entry, now time.Time) {
	found := r.entries[entry.ID]
	if found == nil {
		found = &kept{}
		r.entries[entry.ID] = found
	}
	found.entry = entry
	found.said = entry.Draining
	if mark := markOf(entry); !r.marks[mark].IsZero() {
		found.entry.Draining = true
	}
	found.warm = now.Add(entry.WarmUp)
	found.lapsed = time.Time{}
}

// Remove takes an entry out, or marks it as lapsed while the store is unsteady, and reports whether it is gone.
func (r *Registry) Remove(id string, now time.Time) bool {
	found := r.entries[id]
	if found == nil {
		return false
	}
	if now.Before(r.unsteady) && !found.entry.Draining {
		if found.lapsed.IsZero() {
			found.lapsed = now
		}
		return false
	}
	delete(r.entries, id)
	return true
}

// Retain removes all entries but those named.
func (r *Registry) Retain(ids map[string]bool, now time.Time) {
	for id := range r.entries {
		if !ids[id] {
			r.Remove(id, now)
		}
	}
}

func markOf(entry Entry) Mark {
	return Mark{
		ID:   entry.ID,
		Born: entry.Born,
	}
}

// Leave takes the word of an endpoint that it leaves, which holds for this incarnation whatever its entry says later, and
// reports whether it is news.
func (r *Registry) Leave(mark Mark, now time.Time) bool {
	if !r.marks[mark].IsZero() {
		return false
	}
	r.marks[mark] = now
	if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark {
		found.entry.Draining = true
	}
	return true
}

// Marks returns the endpoints that have said that they leave while their entries say that they don't, in the order of their
// IDs.
func (r *Registry) Marks() []Mark {
	var marks []Mark
	for mark := range r.marks {
		if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark && !found.said {
			marks = append(marks, mark)
		}
	}
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Compare(a.ID, b.ID)
	})
	return marks
}

// ForgetMarks drops the marks of endpoints whose entries are long gone.
func (r *Registry) ForgetMarks(now time.Time) {
	for mark, seen := range r.marks {
		if found := r.entries[mark.ID]; found != nil && markOf(found.entry) == mark {
			r.marks[mark] = now
		} else if now.Sub(seen) > markLife {
			delete(r.marks, mark)
		}
	}
}

// Expire removes lapsed entries that had time to register again, and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	var gone []string
	for id, found := range r.entries {
		if !found.lapsed.IsZero() && now.After(r.unsteady) && now.Sub(found.lapsed) > lapseGrace {
			delete(r.entries, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Has reports whether an entry is known, lapsed ones included.
func (r *Registry) Has(id string) bool {
	return r.entries[id] != nil
}

// Len returns the number of entries, lapsed ones included.
func (r *Registry) Len() int {
	return len(r.entries)
}

// Entries calls visit with each entry and the moment at which it is warm.
func (r *Registry) Entries(visit func(entry Entry, warm time.Time)) {
	for _, found := range r.entries {
		visit(found.entry, found.warm)
	}
}
