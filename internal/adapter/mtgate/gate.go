// The way of one call:
//
//	mtreader -> readiness -> mtadmission -> mtguard (with a key) -> mtsender -> mtwriter
//
// Each step either hands the call on or returns a refusal that states the outcome. net/http gives every call its own
// goroutine, so the steps are joined by function calls; the shared tables behind them have their own locks.

package mtgate

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtanswer"
	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtreader"
	"github.com/mangotack/mangotack/internal/adapter/mtwriter"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// notReadyRetry is how long a caller is told to wait for an instance whose state is not complete.
const notReadyRetry = time.Second

// rules gives the rules in force.
type rules interface {
	Rules() *mtrules.Rules
	IsReady() bool
	Age(now time.Time) time.Duration
}

// admission keeps the limits.
type admission interface {
	Admit(call *mtcall.Call, now time.Time) (time.Duration, bool)
	Release(call *mtcall.Call)
}

// guard keeps the keys of calls that run at most once.
type guard interface {
	Begin(ctx context.Context, call *mtcall.Call, body []byte, now time.Time) error
	End(call *mtcall.Call, outcome mtoutcome.Outcome)
}

// sender sends calls to endpoints.
type sender interface {
	Send(ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body) (*mtanswer.Answer, error)
}

// meter counts calls.
type meter interface {
	Call(service string, outcome mtoutcome.Outcome, reason string, took time.Duration)
}

// Gate is the HTTP handler for calls.
type Gate struct {
	rules     rules
	admission admission
	guard     guard
	sender    sender
	meter     meter
	logger    *logrus.Logger
	reader    mtreader.Reader
	writer    *mtwriter.Writer
	stale     time.Duration
	bodyLimit int
}

// Option changes a gate under construction.
type Option func(*Gate)

// WithStale sets after which time without the log and without peers calls are refused.
func WithStale(stale time.Duration) Option {
	return func(g *Gate) {
		g.stale = stale
	}
}

// WithBodyLimit sets how many bytes of a body are kept in memory.
func WithBodyLimit(limit int) Option {
	return func(g *Gate) {
		g.bodyLimit = limit
	}
}

// NewGate returns a gate that uses the given steps.
func NewGate(rules rules, admission admission, guard guard, sender sender, meter meter, logger *logrus.Logger, options ...Option) *Gate {
	gate := &Gate{
		rules:     rules,
		admission: admission,
		guard:     guard,
		sender:    sender,
		meter:     meter,
		logger:    logger,
		writer:    mtwriter.NewWriter(),
		stale:     time.Minute,
		bodyLimit: 1 << 20,
	}
	for _, option := range options {
		option(gate)
	}
	return gate
}

// ServeHTTP answers one call.
func (g *Gate) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	now := time.Now()
	defer g.recover(to, request)
	call, err := g.read(request, now)
	if err == nil {
		err = g.serve(to, request, call, now)
	}
	if err != nil {
		g.refuse(to, request, call, err, now)
	}
}

// recover refuses a call whose handling panicked; only an abort of the connection passes on.
func (g *Gate) recover(to http.ResponseWriter, request *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		mtevent.CallPanicked.Log(g.logger, logrus.Fields{
			"cause": cause,
			"path":  request.URL.Path,
		})
	}
	panic(http.ErrAbortHandler)
}

func (g *Gate) read(request *http.Request, now time.Time) (*mtcall.Call, error) {
	if !g.rules.IsReady() {
		return nil, mtrefusal.NotRun(mtrefusal.NotReady, "this instance has not read the contracts yet").After(notReadyRetry)
	}
	if age := g.rules.Age(now); age > g.stale {
		return nil, mtrefusal.NotRun(mtrefusal.NotReady, "this instance has reached neither the log nor a peer for %s", age.Round(time.Second)).After(notReadyRetry)
	}
	return g.reader.Read(request, g.rules.Rules(), now)
}

func (g *Gate) serve(to http.ResponseWriter, request *http.Request, call *mtcall.Call, now time.Time) error {
	wait, admitted := g.admission.Admit(call, now)
	if !admitted {
		return mtrefusal.NotRun(mtrefusal.OverLimit, "team %s is over a limit of its contract", call.Tenant()).After(wait)
	}
	defer g.admission.Release(call)
	ctx, cancel := context.WithDeadline(request.Context(), call.Deadline)
	defer cancel()
	body := mtbody.NewBody(request.Body, g.bodyLimit)
	if call.Key == "" || call.Idempotent {
		return g.send(ctx, to, request, call, body, now)
	}
	return g.once(ctx, to, request, call, body, now)
}

// once sends a call with a key, if the key has not been used.
func (g *Gate) once(ctx context.Context, to http.ResponseWriter, request *http.Request, call *mtcall.Call, body *mtbody.Body, now time.Time) error {
	all, whole, err := body.ReadAll()
	if err != nil {
		return mtrefusal.NotRun(mtrefusal.BadCall, "the body of the call broke off")
	}
	if !whole {
		return mtrefusal.NotRun(mtrefusal.TooLarge, "the body of a call with a key has more than %d bytes", g.bodyLimit)
	}
	if err := g.guard.Begin(ctx, call, all, now); err != nil {
		return err
	}
	// Until the sender says otherwise, the key counts as possibly run, also when the handler is aborted.
	outcome := mtoutcome.Unknown
	defer func() {
		g.guard.End(call, outcome)
	}()
	err = g.send(ctx, to, request, call, body, now)
	outcome = outcomeOf(err)
	return err
}

func outcomeOf(err error) mtoutcome.Outcome {
	if err == nil {
		return mtoutcome.Answered
	}
	if refusal, ok := err.(*mtrefusal.Refusal); ok {
		return refusal.Outcome
	}
	return mtoutcome.Unknown
}

func (g *Gate) send(ctx context.Context, to http.ResponseWriter, request *http.Request, call *mtcall.Call, body *mtbody.Body, now time.Time) error {
	if request.ContentLength == 0 {
		// An empty body is whole at once, and CanReopen must know.
		if _, _, err := body.ReadAll(); err != nil {
			return mtrefusal.NotRun(mtrefusal.BadCall, "the body of the call broke off")
		}
	}
	control := http.NewResponseController(to)
	if request.ContentLength < 0 {
		// A stream over HTTP/1.1 may be answered before it has ended. Bodies of a known length do without: after a handler
		// that leaves one unread, net/http would read the connection twice at once and drop it.
		_ = control.EnableFullDuplex()
	}
	defer body.Stop(func() {
		_ = control.SetReadDeadline(time.Now())
	})
	answer, err := g.sender.Send(ctx, call, request, body)
	if err != nil {
		return err
	}
	if answer.IsRetryable() && !answer.IsDeeper() {
		answer.Response.Header.Set(mtcall.FailedHeader, call.Service.GetName())
	}
	whole := false
	defer func() {
		answer.Finish(whole)
	}()
	whole = g.writer.Answer(to, answer)
	if !whole {
		g.meter.Call(call.Service.GetName(), mtoutcome.Unknown, mtrefusal.Lost, time.Since(now))
		panic(http.ErrAbortHandler)
	}
	g.meter.Call(call.Service.GetName(), mtoutcome.Answered, "", time.Since(now))
	return nil
}

func (g *Gate) refuse(to http.ResponseWriter, request *http.Request, call *mtcall.Call, err error, now time.Time) {
	refusal, ok := err.(*mtrefusal.Refusal)
	if !ok {
		refusal = mtrefusal.Unknown(mtrefusal.Lost, "the call could not be handled")
	}
	service := ""
	if call != nil {
		service = call.Service.GetName()
	}
	g.meter.Call(service, refusal.Outcome, refusal.Reason, time.Since(now))
	g.writer.Refuse(to, request, refusal, service)
}
