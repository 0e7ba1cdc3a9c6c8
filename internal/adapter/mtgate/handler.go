// The steps of one call:
//
//	mtreader -> readiness -> mtadmission -> mtguard (with a key) -> mtsender -> mtwriter
//
// Each step either passes the call on or returns a refusal that states the outcome. net/http runs every call in its own
// goroutine, so the steps are function calls; the tables that they share have their own locks.

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

// notReadyRetryDelay is the retry delay in refusals while the state of the instance is missing or stale.
const notReadyRetryDelay = time.Second

// memoryRetryDelay is the retry delay in refusals of calls whose body can't be kept because memory is short.
const memoryRetryDelay = time.Second

// ruleSource provides the rules in force, their readiness and their age.
type ruleSource interface {
	Rules() *mtrules.Rules
	IsReady() bool
	TimeSinceConfirmed(now time.Time) time.Duration
}

// admission enforces the limits of the contracts.
type admission interface {
	Admit(call *mtcall.Call, now time.Time) (time.Duration, bool)
	Release(call *mtcall.Call)
}

// keyGuard records the idempotency keys of calls that must run at most once.
type keyGuard interface {
	BeginDispatch(ctx context.Context, call *mtcall.Call, body []byte, now time.Time) error
	EndDispatch(call *mtcall.Call, outcome mtoutcome.Outcome)
}

// sender sends calls to endpoints.
type sender interface {
	Send(ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body) (*mtanswer.Answer, error)
}

// meter records the outcomes and durations of calls.
type meter interface {
	ObserveCall(service string, outcome mtoutcome.Outcome, reason string, duration time.Duration)
}

// Handler is the HTTP handler for calls.
type Handler struct {
	rules     ruleSource
	admission admission
	keyGuard  keyGuard
	sender    sender
	meter     meter
	logger    *logrus.Logger
	reader    mtreader.Reader
	writer    *mtwriter.Writer
	// maxStateAge is the age of the state after which calls are refused.
	maxStateAge time.Duration
	// maxBodyBytes bounds the part of a body that is kept in memory.
	maxBodyBytes int
	bodyOptions  []mtbody.Option
}

// Option configures a Handler.
type Option func(*Handler)

// WithStale sets for how long calls are accepted after the last contact with the log or a peer; the default is a
// minute.
func WithStale(maxStateAge time.Duration) Option {
	return func(h *Handler) {
		h.maxStateAge = maxStateAge
	}
}

// WithMaxBodyBytes sets how many bytes of a body are kept in memory; the default is 1 MiB.
func WithMaxBodyBytes(maxBodyBytes int) Option {
	return func(h *Handler) {
		h.maxBodyBytes = maxBodyBytes
	}
}

// WithBodyBudget bounds the memory for the bodies of all calls.
func WithBodyBudget(budget *mtbody.Budget) Option {
	return func(h *Handler) {
		h.bodyOptions = append(h.bodyOptions, mtbody.WithBudget(budget))
	}
}

// NewHandler returns a handler that consists of the given steps.
func NewHandler(
	rules ruleSource, admission admission, keyGuard keyGuard, sender sender, meter meter, logger *logrus.Logger,
	options ...Option,
) *Handler {
	handler := &Handler{
		rules:        rules,
		admission:    admission,
		keyGuard:     keyGuard,
		sender:       sender,
		meter:        meter,
		logger:       logger,
		writer:       mtwriter.NewWriter(),
		maxStateAge:  time.Minute,
		maxBodyBytes: 1 << 20,
	}
	for _, option := range options {
		option(handler)
	}
	return handler
}

// ServeHTTP answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	now := time.Now()
	defer h.recoverPanic(w, request)
	call, err := h.readCall(request, now)
	if err == nil {
		err = h.admitAndSend(w, request, call, now)
	}
	if err != nil {
		h.refuse(w, request, call, err, now)
	}
}

// recoverPanic logs a panic of the handling of a call, unless it is http.ErrAbortHandler, and aborts the connection.
func (h *Handler) recoverPanic(w http.ResponseWriter, request *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		mtevent.CallHandlerPanicked.Log(h.logger, logrus.Fields{
			"cause": cause,
			"path":  request.URL.Path,
		})
	}
	panic(http.ErrAbortHandler)
}

// readCall reads the call of a request. It refuses the call while the rules are missing or stale.
func (h *Handler) readCall(request *http.Request, now time.Time) (*mtcall.Call, error) {
	if !h.rules.IsReady() {
		return nil, mtrefusal.NewNotRun(mtrefusal.NotReady, "this instance has not read the contracts yet").
			WithRetryAfter(notReadyRetryDelay)
	}
	if age := h.rules.TimeSinceConfirmed(now); age > h.maxStateAge {
		return nil, mtrefusal.NewNotRun(
			mtrefusal.NotReady, "this instance has reached neither the log nor a peer for %s", age.Round(time.Second),
		).WithRetryAfter(notReadyRetryDelay)
	}
	return h.reader.Read(request, h.rules.Rules(), now)
}

// admitAndSend sends a call that is within the limits of its contract.
func (h *Handler) admitAndSend(w http.ResponseWriter, request *http.Request, call *mtcall.Call, now time.Time) error {
	wait, admitted := h.admission.Admit(call, now)
	if !admitted {
		return mtrefusal.NewNotRun(mtrefusal.OverLimit, "team %s is over a limit of its contract", call.Tenant()).
			WithRetryAfter(wait)
	}
	defer h.admission.Release(call)
	ctx, cancel := context.WithDeadline(request.Context(), call.Deadline)
	defer cancel()
	body := mtbody.NewBody(request.Body, h.maxBodyBytes, h.bodyOptions...)
	defer body.Release()
	if call.IdempotencyKey == "" || call.Idempotent {
		return h.sendAndAnswer(ctx, w, request, call, body, now)
	}
	return h.sendKeyed(ctx, w, request, call, body, now)
}

// sendKeyed sends a call with an idempotency key if the key has not been used.
func (h *Handler) sendKeyed(
	ctx context.Context, w http.ResponseWriter, request *http.Request,
	call *mtcall.Call, body *mtbody.Body, now time.Time,
) error {
	content, complete, err := body.ReadAll()
	if err != nil {
		return mtrefusal.NewNotRun(mtrefusal.BadCall, "the body of the call broke off")
	}
	if !complete && body.LacksMemory() {
		return mtrefusal.NewNotRun(mtrefusal.Busy, "this instance lacks memory for the body of a call with a key").
			WithRetryAfter(memoryRetryDelay)
	}
	if !complete {
		return mtrefusal.NewNotRun(
			mtrefusal.TooLarge, "the body of a call with a key has more than %d bytes", h.maxBodyBytes)
	}
	if err := h.keyGuard.BeginDispatch(ctx, call, content, now); err != nil {
		return err
	}
	// The outcome stays unknown unless the sender returns another one, also when the handler panics.
	outcome := mtoutcome.Unknown
	defer func() {
		h.keyGuard.EndDispatch(call, outcome)
	}()
	err = h.sendAndAnswer(ctx, w, request, call, body, now)
	outcome = outcomeOf(err)
	return err
}

// outcomeOf returns the outcome of a call that ended with err.
func outcomeOf(err error) mtoutcome.Outcome {
	if err == nil {
		return mtoutcome.Answered
	}
	if refusal, ok := err.(*mtrefusal.Refusal); ok {
		return refusal.Outcome
	}
	return mtoutcome.Unknown
}

// sendAndAnswer sends a call and writes the answer of the endpoint to the caller.
func (h *Handler) sendAndAnswer(
	ctx context.Context, w http.ResponseWriter, request *http.Request,
	call *mtcall.Call, body *mtbody.Body, now time.Time,
) error {
	if request.ContentLength == 0 {
		// Reading an empty body to its end records it as complete, so that CanReopen allows retries.
		if _, _, err := body.ReadAll(); err != nil {
			return mtrefusal.NewNotRun(mtrefusal.BadCall, "the body of the call broke off")
		}
	}
	controller := http.NewResponseController(w)
	if request.ContentLength < 0 {
		// The endpoint may answer a streamed HTTP/1.1 body before its end. Full duplex is off for bodies of a known
		// length: after a handler that leaves one unread, net/http would read the connection twice at the same time and
		// close it.
		_ = controller.EnableFullDuplex()
	}
	defer body.StopReading(func() {
		_ = controller.SetReadDeadline(time.Now())
	})
	answer, err := h.sender.Send(ctx, call, request, body)
	if err != nil {
		return err
	}
	if answer.IsRetryable() && !answer.IsDownstreamFailure() {
		answer.Response.Header.Set(mtcall.FailedServiceHeader, call.Service.GetName())
	}
	complete := false
	defer func() {
		answer.Finish(complete)
	}()
	complete = h.writer.CopyResponse(w, answer)
	if !complete {
		h.meter.ObserveCall(call.Service.GetName(), mtoutcome.Unknown, mtrefusal.AnswerLost, time.Since(now))
		panic(http.ErrAbortHandler)
	}
	h.meter.ObserveCall(call.Service.GetName(), mtoutcome.Answered, "", time.Since(now))
	return nil
}

// refuse writes a refusal to the caller and records it; call is nil if the request could not be read.
func (h *Handler) refuse(w http.ResponseWriter, request *http.Request, call *mtcall.Call, err error, now time.Time) {
	refusal, ok := err.(*mtrefusal.Refusal)
	if !ok {
		refusal = mtrefusal.NewUnknown(mtrefusal.AnswerLost, "the call could not be handled")
	}
	service := ""
	if call != nil {
		service = call.Service.GetName()
	}
	h.meter.ObserveCall(service, refusal.Outcome, refusal.Reason, time.Since(now))
	h.writer.WriteRefusal(w, request, refusal, service)
}
