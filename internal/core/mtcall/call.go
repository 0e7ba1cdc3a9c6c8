package mtcall

import (
	"time"

	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// The names of the headers of a call and its answer.
const (
	// IdempotencyKeyHeader contains the idempotency key of a call that must run at most once.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RetriesSpentHeader contains the number of retries already made by the callers up the call chain; endpoints copy it to
	// the calls that they make.
	RetriesSpentHeader = "Mangotack-Spent"
	// FailedServiceHeader contains the name of the service that failed further down the call chain; endpoints copy it to their
	// answers.
	FailedServiceHeader = "Mangotack-Failed"
	// AttemptIDHeader contains the ID of the attempt, for the endpoint.
	AttemptIDHeader = "Mangotack-Attempt"
	// RefusedAttemptHeader contains the ID of an attempt that the endpoint refused without running any part of it.
	RefusedAttemptHeader = "Mangotack-Refused"
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
	// IdempotencyKey is the idempotency key of a call that must run at most once, or empty.
	IdempotencyKey string
	// RetriesSpent is the number of retries already made by the callers up the call chain.
	RetriesSpent int
}

// Tenant returns the name of the customer and the team as customer/team.
func (c *Call) Tenant() string {
	return c.Customer + "/" + c.Team.GetName()
}
