package mtworker

import (
	"context"
	"sync"
	"time"
)

// Pool runs tasks, each at its period and never twice at the same moment.
type Pool struct {
	work  chan job
	group sync.WaitGroup
}

type job struct {
	run  func(ctx context.Context, now time.Time)
	done chan struct{}
}

// NewPool starts the workers; they end with the context.
func NewPool(ctx context.Context, workers int) *Pool {
	pool := &Pool{
		work: make(chan job),
	}
	for range workers {
		pool.group.Go(func() {
			pool.serve(ctx)
		})
	}
	return pool
}

func (p *Pool) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-p.work:
			next.run(ctx, time.Now())
			close(next.done)
		}
	}
}

// Every runs a task at a period until the context ends; a tick that comes while the task runs is left out.
func (p *Pool) Every(ctx context.Context, period time.Duration, run func(ctx context.Context, now time.Time)) {
	p.group.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.do(ctx, run)
			}
		}
	})
}

func (p *Pool) do(ctx context.Context, run func(ctx context.Context, now time.Time)) {
	next := job{
		run:  run,
		done: make(chan struct{}),
	}
	select {
	case <-ctx.Done():
	case p.work <- next:
		<-next.done
	}
}

// Wait returns when all workers and tasks have ended.
func (p *Pool) Wait() {
	p.group.Wait()
}
