// Only the home of a key's ticket dispatches it. Any other instance asks the home, which closes a key that it has not
// seen, so the answer "not run" stays true. A home that can't be asked leaves the outcome unknown.
//
// A key without a ticket is claimed on the platform's log first, and the holder of the first claim is its home. That
// costs an append and the time to read it back, and such calls are refused while the log is out.

package mtguard

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/internal/adapter/mtclaimer"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtonce"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtkeys"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	fullRetry    = time.Second
	runningRetry = time.Second
	// settleTimeout bounds the question to the home of a key.
	settleTimeout = 2 * time.Second
)

// homes asks the home of a ticket what became of a key.
type homes interface {
	Settle(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error)
	Recall(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error)
}

// claimer claims keys on the platform's log.
type claimer interface {
	Claim(ctx context.Context, team, key string, digest []byte) (first *peerv1.Claim, own bool, err error)
}

// Guard lets each key through once; it is safe for use by many goroutines.
type Guard struct {
	keys    *mtkeys.Keys
	homes   homes
	claimer claimer
}

// NewGuard returns a guard over the keys of this incarnation.
func NewGuard(keys *mtkeys.Keys, homes homes, claimer claimer) *Guard {
	return &Guard{
		keys:    keys,
		homes:   homes,
		claimer: claimer,
	}
}

// Begin takes the call's key for dispatch; End must follow. The error is a refusal.
func (g *Guard) Begin(ctx context.Context, call *mtcall.Call, body []byte, now time.Time) error {
	ticket, found, err := mtticket.Parse(call.Key)
	if err != nil {
		return mtrefusal.NotRun(mtrefusal.BadCall, "header %s: %s", mtcall.KeyHeader, errorx.Cast(err).Message())
	}
	if !found {
		return g.claim(ctx, call, digest(call, body), now)
	}
	if !g.keys.IsHome(ticket) {
		return g.ask(ctx, call, ticket)
	}
	outcome, err := g.keys.Begin(call.Tenant(), call.Key, digest(call, body), ticket, now)
	if err != nil {
		return refusalOf(outcome, err)
	}
	return nil
}

// claim takes a key without a ticket for dispatch.
func (g *Guard) claim(ctx context.Context, call *mtcall.Call, sum [sha256.Size]byte, now time.Time) error {
	first, own, err := g.claimer.Claim(ctx, call.Tenant(), call.Key, sum[:])
	switch {
	case err != nil:
		g.keys.Forgo(call.Tenant(), call.Key, now)
		return unclaimed(err)
	case own:
		if outcome, err := g.keys.BeginClaimed(call.Tenant(), call.Key, sum, now); err != nil {
			return refusalOf(outcome, err)
		}
		return nil
	case !bytes.Equal(first.GetDigest(), sum[:]):
		return mtrefusal.NotRun(mtrefusal.Mismatch, "the key came before with another method or body; this call did not run")
	default:
		return g.recall(ctx, first)
	}
}

func unclaimed(err error) *mtrefusal.Refusal {
	reason := mtrefusal.NotReady
	if errorx.IsOfType(err, mtclaimer.Full) {
		reason = mtrefusal.Full
	}
	return mtrefusal.NotRun(reason, "%s", errorx.Cast(err).Message()).After(fullRetry)
}

// recall refuses a call whose key another call has claimed, with what became of that call.
func (g *Guard) recall(ctx context.Context, first *peerv1.Claim) error {
	if outcome := g.keys.Lookup(first.GetTeam(), first.GetKey(), first.GetIncarnation()); outcome != mtoutcome.Unknown {
		return repeated(first.GetInstance(), outcome)
	}
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	outcome, err := g.homes.Recall(limited, first)
	if err != nil {
		outcome = mtoutcome.Unknown
	}
	return repeated(first.GetInstance(), outcome)
}

func repeated(instance string, outcome mtoutcome.Outcome) *mtrefusal.Refusal {
	reason := mtrefusal.Home
	if outcome == mtoutcome.Answered {
		reason = mtrefusal.Repeated
	}
	return &mtrefusal.Refusal{
		Reason:  reason,
		Outcome: outcome,
		Message: "the key belongs to entry instance " + instance + ", which was asked for its outcome",
	}
}

// digest covers what decides the effect of a call: the service, the method and the body.
func digest(call *mtcall.Call, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	hash.Write([]byte(call.Service.GetName() + "/" + call.Method + "\x00"))
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}

func (g *Guard) ask(ctx context.Context, call *mtcall.Call, ticket mtticket.Ticket) error {
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	outcome, err := g.homes.Settle(limited, ticket, call.Tenant(), call.Key)
	if err != nil {
		return mtrefusal.Unknown(mtrefusal.Home, "entry instance %s, which the key's ticket names, can't be asked", ticket.Instance)
	}
	return repeated(ticket.Instance, outcome)
}

// End records the outcome of a key that Begin took.
func (g *Guard) End(call *mtcall.Call, outcome mtoutcome.Outcome) {
	g.keys.End(call.Tenant(), call.Key, outcome)
}

func refusalOf(outcome mtoutcome.Outcome, err error) *mtrefusal.Refusal {
	refusal := &mtrefusal.Refusal{
		Outcome: outcome,
		Message: errorx.Cast(err).Message(),
	}
	switch {
	case errorx.IsOfType(err, mtonce.Full):
		refusal.Reason = mtrefusal.Full
		refusal.Retry = fullRetry
	case errorx.IsOfType(err, mtonce.Mismatch):
		refusal.Reason = mtrefusal.Mismatch
	case errorx.IsOfType(err, mtonce.Expired):
		refusal.Reason = mtrefusal.Expired
	case errorx.IsOfType(err, mtonce.Foreign):
		refusal.Reason = mtrefusal.BadCall
	default:
		refusal.Reason = mtrefusal.Repeated
		if outcome == mtoutcome.Unknown {
			refusal.Retry = runningRetry
		}
	}
	return refusal
}
