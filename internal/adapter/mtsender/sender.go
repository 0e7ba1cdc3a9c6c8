// A call that must run at most once gets a second attempt only after the first verifiably did not run. An idempotent
// call is retried after a failure and hedged when the answer is late; both are taken from a retry budget of a tenth of
// the service's calls. In a chain of calls, only the hop next to a failure retries: a call that a previous hop has
// retried is not retried here, and a failure of a service behind the endpoint is passed on.
//
// A small answer of an idempotent call is read completely before its first byte is sent to the caller, so an endpoint
// that dies in the middle of its answer costs a retry and not the call.

package mtsender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtanswer"
	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/core/mtbudget"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
)

const (
	maxAttempts = 3
	// hedgeLatencyFactor multiplies the latency of a service; the product is the delay before a hedge.
	hedgeLatencyFactor = 3
	minHedgeDelay      = 30 * time.Millisecond
	// defaultHedgeDelay is the delay for a service whose latency is not known yet.
	defaultHedgeDelay = 100 * time.Millisecond
)

// router selects endpoints.
type router interface {
	Acquire(ctx context.Context, call *mtcall.Call, avoid string) (*mtrouter.Lease, error)
	MedianLatency(service string) time.Duration
}

// connPool provides connections to endpoints.
type connPool interface {
	Get(ctx context.Context, target mtpool.Target, now time.Time) (*mtpool.Conn, error)
}

// Sender sends calls to endpoints. It is safe for concurrent use.
type Sender struct {
	router   router
	connPool connPool
	// instanceCount returns the number of entry instances that share the connections to an endpoint.
	instanceCount func() int
	mu            sync.Mutex
	// retryBudgets has a budget for each service name.
	retryBudgets map[string]*mtbudget.Budget
	// onExtraAttempt is called for each retry or hedge that is taken from a budget.
	onExtraAttempt func()
}

// Option configures a Sender.
type Option func(*Sender)

// WithInstanceCount sets the function that returns the number of entry instances that share the connections to an endpoint.
func WithInstanceCount(instanceCount func() int) Option {
	return func(s *Sender) {
		s.instanceCount = instanceCount
	}
}

// WithExtraAttemptHook sets a function that is called for each retry or hedge that is taken from a retry budget.
func WithExtraAttemptHook(onExtraAttempt func()) Option {
	return func(s *Sender) {
		s.onExtraAttempt = onExtraAttempt
	}
}

// NewSender returns a sender that takes endpoints from router and connections from connPool.
func NewSender(router router, connPool connPool, options ...Option) *Sender {
	sender := &Sender{
		router:         router,
		connPool:       connPool,
		instanceCount:  func() int { return 1 },
		retryBudgets:   map[string]*mtbudget.Budget{},
		onExtraAttempt: func() {},
	}
	for _, option := range options {
		option(sender)
	}
	return sender
}

// Send sends a call and returns the answer of an endpoint; the error is a refusal.
func (s *Sender) Send(
	ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body,
) (*mtanswer.Answer, error) {
	s.recordCall(call)
	if call.Idempotent {
		return s.sendIdempotent(ctx, call, request, body)
	}
	return s.sendAtMostOnce(ctx, call, request, body)
}

// recordCall adds a call to the retry budget of its service.
func (s *Sender) recordCall(call *mtcall.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := call.Service.GetName()
	if s.retryBudgets[name] == nil {
		s.retryBudgets[name] = mtbudget.NewBudget()
	}
	s.retryBudgets[name].RecordCall(time.Now())
}

// takeFromBudget reports whether a call may get another attempt, and takes it from the retry budget of the service. A
// call that a previous hop has retried, or whose body can't be sent again, gets none.
func (s *Sender) takeFromBudget(call *mtcall.Call, body *mtbody.Body) bool {
	if call.RetriesSpent > 0 || !body.CanReopen() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.retryBudgets[call.Service.GetName()].TryExtraAttempt(time.Now()) {
		return false
	}
	s.onExtraAttempt()
	return true
}

// sendAtMostOnce makes attempts until one may have run the call.
func (s *Sender) sendAtMostOnce(
	ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body,
) (*mtanswer.Answer, error) {
	avoid := ""
	for attemptNumber := 1; ; attemptNumber++ {
		attempt := newAttempt(s, call, request, body, avoid, call.RetriesSpent)
		answer, err := attempt.run(ctx)
		if err == nil || !attempt.isNotRun() || attempt.endpointName() == "" || attemptNumber == maxAttempts {
			return answer, err
		}
		if attempt.sent && !s.takeFromBudget(call, body) {
			return answer, err
		}
		avoid = attempt.endpointName()
	}
}

// sendIdempotent retries and hedges a call, and returns the first answer that is not to be retried.
func (s *Sender) sendIdempotent(
	ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body,
) (*mtanswer.Answer, error) {
	hedged := newHedgedCall(s, call, request, body)
	hedged.startAttempt(ctx, "")
	hedgeTicker := time.NewTicker(s.hedgeDelay(call))
	defer hedgeTicker.Stop()
	for {
		select {
		case <-hedgeTicker.C:
			hedged.hedge(ctx)
		case result := <-hedged.results:
			hedged.running--
			if answer, err, done := hedged.handleResult(ctx, result); done {
				return answer, err
			}
		}
	}
}

func (s *Sender) hedgeDelay(call *mtcall.Call) time.Duration {
	latency := s.router.MedianLatency(call.Service.GetName())
	if latency == 0 {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, hedgeLatencyFactor*latency)
}

// target describes the connection for a call to an address. The entry instances share the connection limit of the
// service equally, but each may open as many connections as an endpoint has slots.
func (s *Sender) target(call *mtcall.Call, address string) mtpool.Target {
	maxTotal := int(call.Service.GetConnections())
	return mtpool.Target{
		Address:      address,
		H2C:          call.Service.GetProtocol() == h2c,
		MaxConns:     max(int(call.Service.GetSlots()), maxTotal/max(1, s.instanceCount())),
		RequireFresh: !call.Idempotent,
	}
}

// refusalOf returns err as a refusal; an error of the connection pool means that no endpoint was reached.
func refusalOf(err error) *mtrefusal.Refusal {
	if refusal, ok := err.(*mtrefusal.Refusal); ok {
		return refusal
	}
	return mtrefusal.NewNotRun(mtrefusal.EndpointUnreachable, "the endpoint takes no connection").WithRetryAfter(time.Second)
}
