package mtgateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtallowance"
)

// retryBudgets bounds the extra attempts of each service; its mutex is a leaf.
type retryBudgets struct {
	mu sync.Mutex
	// savedSlack is the part of the slack of each service that this instance may save up, as a number of attempts.
	savedSlack float64
	// unused is the allowance of a service without requests so far, and services has those of the others.
	unused   *mtallowance.Allowance
	services map[string]*mtallowance.Allowance
}

func newRetryBudgets(ratio float64, window time.Duration) *retryBudgets {
	return &retryBudgets{
		unused:   mtallowance.New(ratio, window, 0),
		services: map[string]*mtallowance.Allowance{},
	}
}

// savedByUnused returns the number of extra attempts that a service without requests so far may make.
func (b *retryBudgets) savedByUnused(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unused.Saved(now)
}

// currentSlack returns the number of extra attempts that each service may save up regardless of its requests.
func (b *retryBudgets) currentSlack() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.savedSlack
}

// setSlack sets how many extra attempts each service may save up regardless of its requests, and how many accrue in a
// window.
func (b *retryBudgets) setSlack(saved, accrued float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.savedSlack = saved
	b.unused.SetSlack(saved, accrued, now)
	for _, allowance := range b.services {
		allowance.SetSlack(saved, accrued, now)
	}
}

// setRatio changes the ratio and the window.
func (b *retryBudgets) setRatio(ratio float64, window time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unused.SetRatio(ratio, window, now)
	for _, allowance := range b.services {
		allowance.SetRatio(ratio, window, now)
	}
}

// forService returns the allowance of a service, which it creates on first use; the caller holds the mutex.
func (b *retryBudgets) forService(service string) *mtallowance.Allowance {
	allowance := b.services[service]
	if allowance == nil {
		allowance = b.unused.ForService(rand.Float64())
		b.services[service] = allowance
	}
	return allowance
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
	b.budgets.forService(b.service).RecordRequest(now)
}

// budgetUsage is the state of a budget after an extra attempt was requested.
type budgetUsage struct {
	// slack is the number of extra attempts that this instance may save up regardless of its requests, and left the number
	// of all that it may still make.
	slack float64
	left  float64
}

// takeExtraAttempt takes an extra attempt from the budget and reports whether it is allowed.
func (b serviceRetryBudget) takeExtraAttempt(now time.Time) (allowed bool, usage budgetUsage) {
	b.budgets.mu.Lock()
	defer b.budgets.mu.Unlock()
	allowance := b.budgets.forService(b.service)
	allowed = allowance.Take(now)
	return allowed, budgetUsage{
		slack: b.budgets.savedSlack,
		left:  allowance.Saved(now),
	}
}
