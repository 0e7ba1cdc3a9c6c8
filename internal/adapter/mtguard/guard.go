// A key starts with a ticket, which names its home instance: the instance, in one incarnation, that issued the ticket.
// Only the home instance dispatches the key. Any other instance asks the home instance for the outcome of the key. The
// home instance closes a key that it has not seen, so its response "not run" stays true. If the home instance can't be
// reached, the outcome is unknown.
//
// A key without a ticket is first claimed in the platform's log, and the instance with the first claim is its home
// instance. That takes an append and the time to read it back, and such calls are refused while the log is unavailable.

package mtguard

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/adapter/mtclaimer"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtkeytable"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	// fullRetryAfter is the retry delay sent to callers while the table of keys is full or a claim can't be made.
	fullRetryAfter = time.Second
	// runningRetryAfter is the retry delay sent to callers while a call with the same key runs.
	runningRetryAfter = time.Second
	// outcomeTimeout bounds the request for the outcome of a key to its home instance.
	outcomeTimeout = 2 * time.Second
)

// outcomeClient asks other instances for the outcomes of keys: TicketKeyOutcome the instance that issued a ticket,
// ClaimedKeyOutcome the one that made a claim.
type outcomeClient interface {
	TicketKeyOutcome(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error)
	ClaimedKeyOutcome(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error)
}

// keyClaimer claims keys in the platform's log.
type keyClaimer interface {
	Claim(ctx context.Context, team, key string, digest []byte) (first *peerv1.Claim, isOwn bool, err error)
}

// Guard allows at most one dispatch of each key; it is safe for concurrent use.
type Guard struct {
	keys     *mtkeytable.Table
	outcomes outcomeClient
	claimer  keyClaimer
}

// NewGuard returns a guard over the table of keys of this incarnation.
func NewGuard(keys *mtkeytable.Table, outcomes outcomeClient, claimer keyClaimer) *Guard {
	return &Guard{
		keys:     keys,
		outcomes: outcomes,
		claimer:  claimer,
	}
}

// BeginDispatch reserves the key of a call for dispatch. If it returns nil, End must follow; otherwise the error is an
// *mtrefusal.Refusal.
func (g *Guard) BeginDispatch(ctx context.Context, call *mtcall.Call, body []byte, now time.Time) error {
	ticket, found, err := mtticket.Parse(call.IdempotencyKey)
	if err != nil {
		return mtrefusal.NewNotRun(mtrefusal.BadCall, "header %s: %s", mtcall.IdempotencyKeyHeader, errorx.Cast(err).Message())
	}
	if !found {
		return g.beginClaimed(ctx, call, digestOf(call, body), now)
	}
	if !g.keys.Owns(ticket) {
		return g.refuseForeign(ctx, call, ticket)
	}
	outcome, err := g.keys.Begin(call.Tenant(), call.IdempotencyKey, digestOf(call, body), ticket, now)
	if err != nil {
		return beginRefusal(outcome, err)
	}
	return nil
}

// beginClaimed claims a key without a ticket in the log and reserves it for dispatch.
func (g *Guard) beginClaimed(ctx context.Context, call *mtcall.Call, digest [sha256.Size]byte, now time.Time) error {
	first, isOwn, err := g.claimer.Claim(ctx, call.Tenant(), call.IdempotencyKey, digest[:])
	switch {
	case err != nil:
		g.keys.CloseKey(call.Tenant(), call.IdempotencyKey, now)
		return claimRefusal(err)
	case isOwn:
		if outcome, err := g.keys.BeginClaimed(call.Tenant(), call.IdempotencyKey, digest, now); err != nil {
			return beginRefusal(outcome, err)
		}
		return nil
	case !bytes.Equal(first.GetDigest(), digest[:]):
		return mtrefusal.NewNotRun(mtrefusal.KeyMismatch,
			"the key came before with another method or body; this call did not run")
	default:
		return g.refuseClaimed(ctx, first)
	}
}

// claimRefusal returns the refusal of a call whose key could not be claimed.
func claimRefusal(err error) *mtrefusal.Refusal {
	reason := mtrefusal.NotReady
	if errorx.IsOfType(err, mtclaimer.Full) {
		reason = mtrefusal.KeyTableFull
	}
	return mtrefusal.NewNotRun(reason, "%s", errorx.Cast(err).Message()).WithRetryAfter(fullRetryAfter)
}

// refuseClaimed refuses a call whose key another call has claimed, with the outcome of that call.
func (g *Guard) refuseClaimed(ctx context.Context, first *peerv1.Claim) error {
	if outcome := g.keys.Lookup(first.GetTeam(), first.GetKey(), first.GetIncarnation()); outcome != mtoutcome.Unknown {
		return repeatedRefusal(first.GetInstance(), outcome)
	}
	outcomeCtx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	outcome, err := g.outcomes.ClaimedKeyOutcome(outcomeCtx, first)
	if err != nil {
		outcome = mtoutcome.Unknown
	}
	return repeatedRefusal(first.GetInstance(), outcome)
}

// repeatedRefusal returns the refusal of a call whose key belongs to instance, with the outcome of the key there.
func repeatedRefusal(instance string, outcome mtoutcome.Outcome) *mtrefusal.Refusal {
	reason := mtrefusal.KeyOwnerUnconfirmed
	if outcome == mtoutcome.Answered {
		reason = mtrefusal.KeyRepeated
	}
	return &mtrefusal.Refusal{
		Reason:  reason,
		Outcome: outcome,
		Message: "the key belongs to entry instance " + instance + ", which was asked for its outcome",
	}
}

// digestOf hashes what determines the effect of a call: the service, the method and the body.
func digestOf(call *mtcall.Call, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	hash.Write([]byte(call.Service.GetName() + "/" + call.Method + "\x00"))
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// refuseForeign refuses a call whose ticket another instance issued, with the outcome of the key there.
func (g *Guard) refuseForeign(ctx context.Context, call *mtcall.Call, ticket mtticket.Ticket) error {
	outcomeCtx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	outcome, err := g.outcomes.TicketKeyOutcome(outcomeCtx, ticket, call.Tenant(), call.IdempotencyKey)
	if err != nil {
		return mtrefusal.NewUnknown(mtrefusal.KeyOwnerUnconfirmed,
			"entry instance %s, which the key's ticket names, can't be asked", ticket.Instance)
	}
	return repeatedRefusal(ticket.Instance, outcome)
}

// EndDispatch records the outcome of a call whose key Begin reserved.
func (g *Guard) EndDispatch(call *mtcall.Call, outcome mtoutcome.Outcome) {
	g.keys.End(call.Tenant(), call.IdempotencyKey, outcome)
}

// beginRefusal returns the refusal of a call whose key the table of keys did not reserve.
func beginRefusal(outcome mtoutcome.Outcome, err error) *mtrefusal.Refusal {
	refusal := &mtrefusal.Refusal{
		Outcome: outcome,
		Message: errorx.Cast(err).Message(),
	}
	switch {
	case errorx.IsOfType(err, mtdedup.TableFull):
		refusal.Reason = mtrefusal.KeyTableFull
		refusal.RetryAfter = fullRetryAfter
	case errorx.IsOfType(err, mtdedup.DigestMismatch):
		refusal.Reason = mtrefusal.KeyMismatch
	case errorx.IsOfType(err, mtdedup.Expired):
		refusal.Reason = mtrefusal.KeyExpired
	case errorx.IsOfType(err, mtdedup.ExpiryTooLate):
		refusal.Reason = mtrefusal.BadCall
	default:
		refusal.Reason = mtrefusal.KeyRepeated
		if outcome == mtoutcome.Unknown {
			refusal.RetryAfter = runningRetryAfter
		}
	}
	return refusal
}
