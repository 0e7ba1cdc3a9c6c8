package mtnews

import "errors"

// Feed is a topic of the store that instances follow.
type Feed uint32

// The feeds.
const (
	// Configuration is the operator's configuration.
	Configuration Feed = iota
	// Endpoints is the records that endpoints write about themselves.
	Endpoints
	// Members is the addresses of entry instances.
	Members
)

// String returns the name of the feed in logs and metrics.
func (f Feed) String() string {
	switch f {
	case Configuration:
		return "configuration"
	case Endpoints:
		return "endpoints"
	default:
		return "members"
	}
}

// ErrForgotten is the error of a read from an offset whose records the store no longer retains.
var ErrForgotten = errors.New("the records at the offset are no longer retained")

// Change is the newest record of one key.
type Change struct {
	Key   string
	Value []byte
	// Gone is set when the key was deleted.
	Gone bool
}

// Batch is the changes of a feed between two offsets.
type Batch struct {
	Feed    Feed
	From    uint64
	To      uint64
	Changes []Change
	// Whole is set when the changes are a snapshot, which replaces the previous state of the feed.
	Whole bool
}
