package mtexchange

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtplacer"
)

// Stated is what an endpoint says with an answer.
type Stated struct {
	// Attempt is the ID of the attempt that the answer belongs to, or empty.
	Attempt string
	// Instance is the ID of the endpoint, or empty.
	Instance string
	// NotRun is set when the endpoint states that it did not run the call.
	NotRun bool
	// Moved is set when another endpoint answered than the one named.
	Moved bool
	// Leaving is set when the endpoint states that it leaves.
	Leaving bool
	// Rest is for how long an endpoint that did not run the call wants no others, or 0; RestUnread is what it said in place of
	// a time, or empty.
	Rest       time.Duration
	RestUnread string
	// Report is the endpoint's load; it is valid when Reported is set.
	Report   mtplacer.Report
	Reported bool
}
