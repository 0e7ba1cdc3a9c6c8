package mtreplication

import "errors"

// Feed is a topic of the store that instances follow.
type Feed uint32

// The feeds.
const (
	// ConfigurationFeed is the operator's configuration.
	ConfigurationFeed Feed = iota
	// EndpointFeed is the records that endpoints write about themselves.
	EndpointFeed
	// MemberFeed is the addresses of entry instances.
	MemberFeed
)

// String returns the name of the feed in logs and metrics.
func (f Feed) String() string {
	switch f {
	case ConfigurationFeed:
		return "configuration"
	case EndpointFeed:
		return "endpoints"
	default:
		return "members"
	}
}

// ErrNotRetained is the error of a read from an offset that the store does not have: its records are no longer retained,
// or the offset is of an earlier era. The batch that is returned with it has the era of the store.
var ErrNotRetained = errors.New("the records at the offset are no longer retained")

// Change is the newest record of one key.
type Change struct {
	Key   string
	Value []byte
	// Deleted is set when the key was deleted.
	Deleted bool
	// Lost is set for a record in force that the store may have lost, and Era is the era in which it was read.
	Lost bool
	Era  uint64
}

// Batch is the changes of a feed between two offsets of one era.
type Batch struct {
	Feed    Feed
	Era     uint64
	From    uint64
	To      uint64
	Changes []Change
	// Snapshot is set when the changes are a snapshot, which replaces the previous state of the feed.
	Snapshot bool
}

// End returns the position that is reached by the batch.
func (b Batch) End() Position {
	return Position{
		Era:    b.Era,
		Offset: b.To,
	}
}
