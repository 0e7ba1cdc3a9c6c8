package mtcall

import (
	"time"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// The names of headers that travel with a call.
const (
	// KeyHeader carries the key of a call that must run at most once.
	KeyHeader = "Idempotency-Key"
	// SpentHeader carries the number of retries spent above; endpoints copy it to the calls that they make.
	SpentHeader = "Mangotack-Spent"
	// FailedHeader names the service that failed deeper down; endpoints copy it to their answers.
	FailedHeader = "Mangotack-Failed"
	// AttemptHeader carries the identifier of the attempt to the endpoint.
	AttemptHeader = "Mangotack-Attempt"
	// RefusedHeader carries the identifier of an attempt that the endpoint refused before it ran anything.
	RefusedHeader = "Mangotack-Refused"
	// CustomerHeader and TeamHeader tell the endpoint who calls, in place of the caller's token.
	CustomerHeader = "Mangotack-Customer"
	TeamHeader     = "Mangotack-Team"
)

// Call is one call of a team.
type Call struct {
	Service  *recordv1.Service
	Method   string
	Customer string
	Team     *recordv1.Team
	Contract *recordv1.Contract
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Idempotent is set when the call may run more than once.
	Idempotent bool
	// Key is empty or names the call to the at-most-once table.
	Key string
	// Spent is the number of retries spent above.
	Spent int
}

// Tenant returns the customer and team as one name.
func (c *Call) Tenant() string {
	return c.Customer + "/" + c.Team.GetName()
}
