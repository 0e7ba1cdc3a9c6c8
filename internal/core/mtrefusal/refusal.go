package mtrefusal

import (
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// The reasons of refusals.
const (
	BadCall   = "badcall"
	NoTeam    = "noteam"
	NoService = "noservice"
	Forbidden = "forbidden"
	OverLimit = "overlimit"
	NotReady  = "notready"
	Busy      = "busy"
	Deadline  = "deadline"
	Cancelled = "cancelled"
	Unreached = "unreached"
	Lost      = "lost"
	Repeated  = "repeated"
	Mismatch  = "mismatch"
	Expired   = "expired"
	Full      = "full"
	Home      = "home"
	TooLarge  = "toolarge"
)

var codes = map[string]connect.Code{
	BadCall:   connect.CodeInvalidArgument,
	NoTeam:    connect.CodeUnauthenticated,
	NoService: connect.CodeNotFound,
	Forbidden: connect.CodePermissionDenied,
	OverLimit: connect.CodeResourceExhausted,
	NotReady:  connect.CodeUnavailable,
	Busy:      connect.CodeUnavailable,
	Deadline:  connect.CodeDeadlineExceeded,
	Cancelled: connect.CodeCanceled,
	Unreached: connect.CodeUnavailable,
	Lost:      connect.CodeUnavailable,
	Repeated:  connect.CodeAborted,
	Mismatch:  connect.CodeInvalidArgument,
	Expired:   connect.CodeFailedPrecondition,
	Full:      connect.CodeResourceExhausted,
	Home:      connect.CodeUnavailable,
	TooLarge:  connect.CodeResourceExhausted,
}

// Refusal is the answer of an entry instance in place of an endpoint's.
type Refusal struct {
	Reason  string
	Outcome mtoutcome.Outcome
	Message string
	// Retry is how long to wait before another call, or 0 when another call can't help.
	Retry time.Duration
}

// NotRun returns the refusal of a call that did not run and never will.
func NotRun(reason, format string, arguments ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: mtoutcome.NotRun,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// Unknown returns the refusal of a call that may have run.
func Unknown(reason, format string, arguments ...any) *Refusal {
	return &Refusal{
		Reason:  reason,
		Outcome: mtoutcome.Unknown,
		Message: fmt.Sprintf(format, arguments...),
	}
}

// After returns the refusal with the time after which another call may succeed.
func (r *Refusal) After(retry time.Duration) *Refusal {
	r.Retry = retry
	return r
}

// Error returns the message with the reason and the outcome.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Outcome, r.Message)
}

// Code returns the code in which Connect and gRPC callers get the refusal.
func (r *Refusal) Code() connect.Code {
	return codes[r.Reason]
}
