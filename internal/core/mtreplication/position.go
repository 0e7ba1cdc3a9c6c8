package mtreplication

import "cmp"

// Position is a place in a feed. A store that is restored from a copy begins a new era, in which it assigns the offsets
// after the end of the copy again, so offsets are comparable only within an era.
type Position struct {
	// Era is 0 for a store without eras.
	Era    uint64
	Offset uint64
}

// Compare returns a negative number if p is before other, 0 if they are equal, and a positive number otherwise.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}
