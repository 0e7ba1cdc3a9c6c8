package mtcall

import (
	"time"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// The names of the headers of a call and its answer.
const (
	// KeyHeader contains the idempotency key of a call that must run at most once.
	KeyHeader = "Idempotency-Key"
	// SpentHeader contains the number of retries already made by the callers up the call chain; endpoints copy it to
	// the calls that they make.
	SpentHeader = "Mangotack-Spent"
	// FailedHeader contains the name of the service that failed further down the call chain; endpoints copy it to their
	// answers.
	FailedHeader = "Mangotack-Failed"
	// AttemptHeader contains the ID of the attempt, for the endpoint.
	AttemptHeader = "Mangotack-Attempt"
	// RefusedHeader contains the ID of an attempt that the endpoint refused without running any part of it.
	RefusedHeader = "Mangotack-Refused"
	// CustomerHeader and TeamHeader identify the caller to the endpoint, in place of the caller's token.
	CustomerHeader = "Mangotack-Customer"
	TeamHeader     = "Mangotack-Team"
)

// Call is a call of a team to a method of a service.
type Call struct {
	Service  *recordv1.Service
	Method   string
	Customer string
	Team     *recordv1.Team
	Contract *recordv1.Contract
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Key is the idempotency key of a call that must run at most once, or empty.
	Key string
	// Spent is the number of retries already made by the callers up the call chain.
	Spent int
}

// Tenant returns the name of the customer and the team as customer/team.
func (c *Call) Tenant() string {
	return c.Customer + "/" + c.Team.GetName()
}
