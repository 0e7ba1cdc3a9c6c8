package mtexchange

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// Stated is the metadata that an endpoint sends with an answer.
type Stated struct {
	// Attempt is the ID of the attempt that the answer belongs to, or empty.
	Attempt string
	// Instance is the ID of the endpoint, or empty.
	Instance string
	// NotRun is set when the endpoint states that it did not run the call.
	NotRun bool
	// Moved is set when the call reached another endpoint than the one that it names.
	Moved bool
	// Leaving is set when the endpoint states that it is shutting down.
	Leaving bool
	// Rest is the time for which an endpoint that did not run the call asks for no further calls, or 0.
	Rest time.Duration
	// RestUnread is the text that the endpoint sent in place of a valid time, or empty.
	RestUnread string
	// Report is the load of the endpoint; it is valid when Reported is set.
	Report   mtscheduler.LoadReport
	Reported bool
}
