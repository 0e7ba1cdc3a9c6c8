package mtgateway

import (
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtbudget"
)

// retryBudgets bounds the extra attempts of each service; its mutex is a leaf.
type retryBudgets struct {
	mu       sync.Mutex
	ratio    float64
	window   time.Duration
	slack    float64
	services map[string]*mtbudget.Budget
}

// budgetSafetyFactor is the part of the allowed extra attempts that an instance uses, because its time window differs
// from that of an external observer.
const budgetSafetyFactor = 0.8

func newRetryBudgets(ratio float64, window time.Duration) *retryBudgets {
	return &retryBudgets{
		ratio:    budgetSafetyFactor * ratio,
		window:   window,
		services: map[string]*mtbudget.Budget{},
	}
}

// currentSlack returns the number of extra attempts that each service may make regardless of its requests.
func (b *retryBudgets) currentSlack() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slack
}

func (b *retryBudgets) setSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
	for _, budget := range b.services {
		budget.SetSlack(slack)
	}
}

// setRatio changes the ratio and the window; when either differs, all services start with empty windows.
func (b *retryBudgets) setRatio(ratio float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budgetSafetyFactor*ratio == b.ratio && window == b.window {
		return
	}
	b.ratio = budgetSafetyFactor * ratio
	b.window = window
	clear(b.services)
}

// forService returns the budget of a service, which it creates on first use; the caller holds the mutex.
func (b *retryBudgets) forService(service string) *mtbudget.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = mtbudget.NewBudget(mtbudget.WithExtraRatio(b.ratio, b.window))
		budget.SetSlack(b.slack)
		b.services[service] = budget
	}
	return budget
}

// serviceRetryBudget is the budget of one service.
type serviceRetryBudget struct {
	budgets *retryBudgets
	service string
}

func (g *Gateway) retryBudget(service string) serviceRetryBudget {
	return serviceRetryBudget{
		budgets: g.retryBudgets,
		service: service,
	}
}

// countRequest counts a request at its arrival.
func (b serviceRetryBudget) countRequest(now time.Time) {
	b.budgets.mu.Lock()
	defer b.budgets.mu.Unlock()
	b.budgets.forService(b.service).RecordCall(now)
}

// budgetUsage is the state of a budget after an extra attempt was requested.
type budgetUsage struct {
	// requests and extra are the numbers of requests and extra attempts in the window.
	requests float64
	extra    float64
	// slack is the number of extra attempts that this instance may make regardless of its requests, and left the number
	// of those that it may still make.
	slack float64
	left  float64
}

// takeExtraAttempt takes an extra attempt from the budget and reports whether it is allowed.
func (b serviceRetryBudget) takeExtraAttempt(now time.Time) (allowed bool, usage budgetUsage) {
	b.budgets.mu.Lock()
	defer b.budgets.mu.Unlock()
	budget := b.budgets.forService(b.service)
	allowed = budget.TryExtraAttempt(now)
	requests, extra := budget.Counts(now)
	return allowed, budgetUsage{
		requests: requests,
		extra:    extra,
		slack:    b.budgets.slack,
		left:     budget.Remaining(now),
	}
}
