package mtworker

import (
	"context"
	"sync"
	"time"
)

// Pool runs periodic tasks. Two runs of the same task never overlap.
type Pool struct {
	jobs       chan job
	goroutines sync.WaitGroup
}

// job is one run of a task; done is closed when the run has ended.
type job struct {
	run  func(ctx context.Context, now time.Time)
	done chan struct{}
}

// NewPool starts a number of workers, which stop when the context ends.
func NewPool(ctx context.Context, workers int) *Pool {
	pool := &Pool{
		jobs: make(chan job),
	}
	for range workers {
		pool.goroutines.Go(func() {
			pool.runWorker(ctx)
		})
	}
	return pool
}

func (p *Pool) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case nextJob := <-p.jobs:
			nextJob.run(ctx, time.Now())
			close(nextJob.done)
		}
	}
}

// RunEvery runs a task at a period until the context ends. Ticks that come while the task waits or runs are dropped,
// except for one.
func (p *Pool) RunEvery(ctx context.Context, period time.Duration, run func(ctx context.Context, now time.Time)) {
	p.goroutines.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.runOnce(ctx, run)
			}
		}
	})
}

// runOnce passes a run of a task to a worker and waits until it has ended.
func (p *Pool) runOnce(ctx context.Context, run func(ctx context.Context, now time.Time)) {
	nextJob := job{
		run:  run,
		done: make(chan struct{}),
	}
	select {
	case <-ctx.Done():
	case p.jobs <- nextJob:
		<-nextJob.done
	}
}

// Wait waits until all workers and tasks have stopped.
func (p *Pool) Wait() {
	p.goroutines.Wait()
}
