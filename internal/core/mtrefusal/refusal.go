package mtrefusal

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// The reasons of refusals, as they are sent to callers.
const (
	// BadCall means that the call is malformed or incomplete.
	BadCall = "badcall"
	// NoTeam means that the call carries no valid token of a team.
	NoTeam = "noteam"
	// NoService means that the service has no record.
	NoService = "noservice"
	// Forbidden means that the team is not approved for the service.
	Forbidden = "forbidden"
	// OverLimit means that the team is over a limit of its contract.
	OverLimit = "overlimit"
	// NotReady means that the instance lacks current data to serve the call.
	NotReady = "notready"
	// Busy means that the queue or the endpoint accepts no further calls.
	Busy = "busy"
	// Deadline means that the deadline came before an answer.
	Deadline = "deadline"
	// Cancelled means that the caller left before an answer.
	Cancelled = "cancelled"
	// EndpointUnreachable means that no endpoint of the service could be connected to.
	EndpointUnreachable = "unreached"
	// AnswerLost means that the call was sent, and its answer was lost, so it may have run.
	AnswerLost = "lost"
	// KeyRepeated means that an earlier call with the same idempotency key has run or is running.
	KeyRepeated = "repeated"
	// KeyMismatch means that an earlier call with the same idempotency key had another method or body.
	KeyMismatch = "mismatch"
	// KeyExpired means that the ticket in the idempotency key has expired.
	KeyExpired = "expired"
	// KeyTableFull means that there is no room for another idempotency key.
	KeyTableFull = "full"
	// KeyOwnerUnconfirmed means that the instance that the idempotency key belongs to can't report that the call was answered.
	KeyOwnerUnconfirmed = "home"
	// TooLarge means that the body of a call with an idempotency key is too large.
	TooLarge = "toolarge"
)

// codes maps each reason to its status code.
var codes = map[string]connect.Code{
	BadCall:             connect.CodeInvalidArgument,
	NoTeam:              connect.CodeUnauthenticated,
	NoService:           connect.CodeNotFound,
	Forbidden:           connect.CodePermissionDenied,
	OverLimit:           connect.CodeResourceExhausted,
	NotReady:            connect.CodeUnavailable,
	Busy:                connect.CodeUnavailable,
	Deadline:            connect.CodeDeadlineExceeded,
	Cancelled:           connect.CodeCanceled,
	EndpointUnreachable: connect.CodeUnavailable,
	AnswerLost:          connect.CodeUnavailable,
	KeyRepeated:         connect.CodeAborted,
	KeyMismatch:         connect.CodeInvalidArgument,
	KeyExpired:          connect.CodeFailedPrecondition,
	KeyTableFull:        connect.CodeResourceExhausted,
	KeyOwnerUnconfirmed: connect.CodeUnavailable,
	TooLarge:            connect.CodeResourceExhausted,
}

// Refusal is the answer that an entry instance gives in place of an endpoint.
type Refusal struct {
	Reason  string
	Outcome mtoutcome.Outcome
	Message string
	// RetryAfter is the time after which the caller may retry, or 0 when a retry can't help.
	RetryAfter time.Duration
}

// NewNotRun returns the refusal of a call that did not run and never will.
func NewNotRun(reason, format string, arguments ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: mtoutcome.NotRun,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// NewUnknown returns the refusal of a call that may have run.
func NewUnknown(reason, format string, arguments ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: mtoutcome.Unknown,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// WithRetryAfter sets the time after which a retry may succeed, and returns the refusal.
func (r *Refusal) WithRetryAfter(retry time.Duration) *Refusal {
	r.RetryAfter = retry
	return r
}

// Error returns the message with the reason and the outcome.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// Code returns the status code of the refusal for Connect and gRPC callers.
func (r *Refusal) Code() connect.Code {
	return codes[r.Reason]
}
