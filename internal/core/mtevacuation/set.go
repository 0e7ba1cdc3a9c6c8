// The load pattern: an operator asks that nothing more is sent to a zone until a record is removed, while instances start,
// miss changes, lose the store, or see it restored from a copy that lacks the record.
//
//	record of an era              -> evacuated
//	removed in an era             -> not evacuated, whatever earlier eras stated
//	missing in a snapshot         -> not evacuated if this era stated the record; otherwise the copy lacks it, and it stays
//	record that the store lost    -> evacuated, unless a later era, or a removal in the same, states otherwise

package mtevacuation

import (
	"slices"
)

// Statement is what one record of the store states about a zone.
type Statement struct {
	// Key is the key of the record.
	Key       string
	Zone      string
	Evacuated bool
	// IsLost is set for a record that an instance has in force and the store may have lost.
	IsLost bool
	// Era is the era of the store in which the record was read.
	Era uint64
	// Value is the content of the record.
	Value []byte
}

// Change is a zone whose evacuation begins or ends.
type Change struct {
	Zone      string
	Evacuated bool
}

// Set holds the evacuated zones. It is not safe for concurrent use.
type Set struct {
	// zones contains the last statement about each zone. Removals are kept, because a peer may still hold the record of an
	// earlier era.
	zones map[string]Statement
}

// NewSet returns a set without evacuated zones.
func NewSet() *Set {
	return &Set{
		zones: map[string]Statement{},
	}
}

// Apply applies the statements of a batch of records and returns the zones whose evacuation begins or ends, sorted. era is
// the era of the batch, and isSnapshot is set if the batch holds all records of the store.
func (s *Set) Apply(statements []Statement, isSnapshot bool, era uint64) []Change {
	before := s.evacuated()
	present := map[string]bool{}
	for _, statement := range statements {
		if statement.IsLost {
			s.applyLost(statement)
			continue
		}
		present[statement.Zone] = true
		s.zones[statement.Zone] = statement
	}
	if isSnapshot {
		s.removeMissing(present, era)
	}
	return differences(before, s.evacuated())
}

// applyLost applies a record that another instance has in force, unless something later is known about the zone.
func (s *Set) applyLost(statement Statement) {
	known, found := s.zones[statement.Zone]
	if found && known.Era >= statement.Era {
		return
	}
	s.zones[statement.Zone] = statement
}

// removeMissing ends the evacuations whose records were in the store in this era and are in the snapshot no longer.
func (s *Set) removeMissing(present map[string]bool, era uint64) {
	for zone, known := range s.zones {
		if known.Evacuated && known.Era >= era && !present[zone] {
			known.Evacuated = false
			s.zones[zone] = known
		}
	}
}

// IsEvacuated reports whether a zone is evacuated.
func (s *Set) IsEvacuated(zone string) bool {
	return s.zones[zone].Evacuated
}

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones() []string {
	return s.evacuated()
}

// Lost returns the statements in force that were read before an era, sorted by zone: the store may have lost their records.
func (s *Set) Lost(era uint64) []Statement {
	var lost []Statement
	for _, zone := range s.evacuated() {
		if known := s.zones[zone]; known.Era < era {
			known.IsLost = true
			lost = append(lost, known)
		}
	}
	return lost
}

func (s *Set) evacuated() []string {
	var zones []string
	for zone, known := range s.zones {
		if known.Evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// differences returns the zones that are in only one of two sorted lists, sorted.
func differences(before, after []string) []Change {
	var changes []Change
	for _, zone := range before {
		if _, stays := slices.BinarySearch(after, zone); !stays {
			changes = append(changes, Change{
				Zone: zone,
			})
		}
	}
	for _, zone := range after {
		if _, was := slices.BinarySearch(before, zone); !was {
			changes = append(changes, Change{
				Zone:      zone,
				Evacuated: true,
			})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return changes
}
