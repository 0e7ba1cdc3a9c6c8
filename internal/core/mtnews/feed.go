package mtnews

import "errors"

// Feed is a topic of the store that instances follow.
type Feed uint32

// The feeds.
const (
	// Configuration holds the operator's configuration.
	Configuration Feed = iota
	// Endpoints holds what endpoints say of themselves.
	Endpoints
	// Members holds where entry instances are found.
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

// ErrForgotten is the error of a read from an offset whose records are no longer kept.
var ErrForgotten = errors.New("the records are no longer kept")

// Change is the newest record of one key; Gone is set when the key was dropped.
type Change struct {
	Key   string
	Value []byte
	Gone  bool
}

// Batch holds the changes of a feed between two offsets; Whole is set when they replace all that was known.
type Batch struct {
	Feed    Feed
	From    uint64
	To      uint64
	Changes []Change
	Whole   bool
}
