package mtgateway

import (
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtbudget"
)

// budgets bounds the repeats of each service; its mutex is a leaf.
type budgets struct {
	mu       sync.Mutex
	part     float64
	window   time.Duration
	slack    float64
	services map[string]*mtbudget.Budget
}

// ownPart is the part of the allowed repeats that an instance uses, because its window and the observer's differ.
const ownPart = 0.8

func newBudgets(part float64, window time.Duration) *budgets {
	return &budgets{
		part:     ownPart * part,
		window:   window,
		services: map[string]*mtbudget.Budget{},
	}
}

func (b *budgets) setSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
	for _, budget := range b.services {
		budget.SetSlack(slack)
	}
}

// setPart changes the bound; a service starts with a new window when it differs.
func (b *budgets) setPart(part float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ownPart*part == b.part && window == b.window {
		return
	}
	b.part = ownPart * part
	b.window = window
	clear(b.services)
}

// of returns the budget of a service; the mutex is held.
func (b *budgets) of(service string) *mtbudget.Budget {
	found := b.services[service]
	if found == nil {
		found = mtbudget.NewBudget(mtbudget.WithPart(b.part, b.window))
		found.SetSlack(b.slack)
		b.services[service] = found
	}
	return found
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	all     *budgets
	service string
}

func (g *Gateway) budget(service string) serviceBudget {
	return serviceBudget{
		all:     g.budgets,
		service: service,
	}
}

// call counts the first arrival of a request.
func (b serviceBudget) call(now time.Time) {
	b.all.mu.Lock()
	defer b.all.mu.Unlock()
	b.all.of(b.service).Call(now)
}

// take counts a repeat and returns whether it may be made, and how many more may after it.
func (b serviceBudget) take(now time.Time) (allowed bool, left float64) {
	b.all.mu.Lock()
	defer b.all.mu.Unlock()
	budget := b.all.of(b.service)
	allowed = budget.Take(now)
	return allowed, budget.Left(now)
}
