// A call that must run at most once gets a second attempt only after the first verifiably did not run. An idempotent call
// is retried after a failure and hedged when the answer is late, both from a budget of a tenth of the service's calls.
// Retries are spent only directly above a failure: a call that comes with retries spent above it gets none here, and a
// failure that comes from deeper down is passed on.
//
// A small answer of an idempotent call is read whole before the caller sees its first byte, so an endpoint that dies in
// the middle costs a retry and not the call.

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
	attemptLimit  = 3
	hedgeFactor   = 3
	hedgeShortest = 30 * time.Millisecond
	hedgeDefault  = 100 * time.Millisecond
)

// router finds endpoints.
type router interface {
	Acquire(ctx context.Context, call *mtcall.Call, avoid string) (*mtrouter.Lease, error)
	Latency(service string) time.Duration
}

// connector gives connections to endpoints.
type connector interface {
	Get(ctx context.Context, target mtpool.Target, now time.Time) (*mtpool.Conn, error)
}

// Sender sends calls; it is safe for use by many goroutines.
type Sender struct {
	router    router
	connector connector
	members   func() int
	mu        sync.Mutex
	budgets   map[string]*mtbudget.Budget
	extra     func()
}

// Option changes a sender under construction.
type Option func(*Sender)

// WithMembers sets the function that returns the number of entry instances that share the connections to an endpoint.
func WithMembers(members func() int) Option {
	return func(s *Sender) {
		s.members = members
	}
}

// WithExtra sets a function that is called for each retry and hedge.
func WithExtra(extra func()) Option {
	return func(s *Sender) {
		s.extra = extra
	}
}

// NewSender returns a sender that takes endpoints from a router and connections from a connector.
func NewSender(router router, connector connector, options ...Option) *Sender {
	sender := &Sender{
		router:    router,
		connector: connector,
		members:   func() int { return 1 },
		budgets:   map[string]*mtbudget.Budget{},
		extra:     func() {},
	}
	for _, option := range options {
		option(sender)
	}
	return sender
}

// Send returns the answer of an endpoint, or a refusal.
func (s *Sender) Send(ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body) (*mtanswer.Answer, error) {
	s.count(call)
	if call.Idempotent {
		return s.race(ctx, call, request, body)
	}
	return s.once(ctx, call, request, body)
}

func (s *Sender) count(call *mtcall.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := call.Service.GetName()
	if s.budgets[name] == nil {
		s.budgets[name] = mtbudget.NewBudget()
	}
	s.budgets[name].Call(time.Now())
}

func (s *Sender) mayRepeat(call *mtcall.Call, body *mtbody.Body) bool {
	if call.Spent > 0 || !body.CanReopen() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budgets[call.Service.GetName()].Take(time.Now()) {
		return false
	}
	s.extra()
	return true
}

// once tries endpoints until one may have run the call.
func (s *Sender) once(ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body) (*mtanswer.Answer, error) {
	avoid := ""
	for number := 1; ; number++ {
		try := newTry(s, call, request, body, avoid, call.Spent)
		answer, err := try.run(ctx)
		if err == nil || !try.isNotRun() || try.place() == "" || number == attemptLimit {
			return answer, err
		}
		if try.sent && !s.mayRepeat(call, body) {
			return answer, err
		}
		avoid = try.place()
	}
}

// race runs attempts of an idempotent call and returns the first that is good.
func (s *Sender) race(ctx context.Context, call *mtcall.Call, request *http.Request, body *mtbody.Body) (*mtanswer.Answer, error) {
	run := newRace(s, call, request, body)
	run.launch(ctx, "")
	hedge := time.NewTicker(s.hedgeDelay(call))
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			run.hedge(ctx)
		case ended := <-run.results:
			run.running--
			if answer, err, over := run.settle(ctx, ended); over {
				return answer, err
			}
		}
	}
}

func (s *Sender) hedgeDelay(call *mtcall.Call) time.Duration {
	latency := s.router.Latency(call.Service.GetName())
	if latency == 0 {
		return hedgeDefault
	}
	return max(hedgeShortest, hedgeFactor*latency)
}

func (s *Sender) target(call *mtcall.Call, address string) mtpool.Target {
	total := int(call.Service.GetConnections())
	return mtpool.Target{
		Address:      address,
		H2C:          call.Service.GetProtocol() == h2c,
		MaxConns:     max(int(call.Service.GetSlots()), total/max(1, s.members())),
		RequireFresh: !call.Idempotent,
	}
}

func refusalOf(err error) *mtrefusal.Refusal {
	if refusal, ok := err.(*mtrefusal.Refusal); ok {
		return refusal
	}
	return mtrefusal.NotRun(mtrefusal.Unreached, "the endpoint takes no connection").After(time.Second)
}
