package mtsender

import (
	"context"
	"net/http"

	"github.com/mangotack/mangotack/internal/adapter/mtanswer"
	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// hedgedCall runs the attempts of one idempotent call: the first one, its hedges and its retries.
type hedgedCall struct {
	sender  *Sender
	call    *mtcall.Call
	request *http.Request
	body    *mtbody.Body
	results chan attemptResult
	// cancels has an entry for each attempt whose result is neither returned nor discarded.
	cancels map[*attempt]context.CancelFunc
	started int
	running int
	latest  *attempt
	// mayHaveRun is set once an attempt that may have run has ended; from then on no refusal may state "not run".
	mayHaveRun bool
}

// attemptResult is the result of an attempt that has ended.
type attemptResult struct {
	attempt *attempt
	answer  *mtanswer.Answer
	err     error
}

func newHedgedCall(sender *Sender, call *mtcall.Call, request *http.Request, body *mtbody.Body) *hedgedCall {
	return &hedgedCall{
		sender:  sender,
		call:    call,
		request: request,
		body:    body,
		results: make(chan attemptResult, maxAttempts),
		cancels: map[*attempt]context.CancelFunc{},
	}
}

// startAttempt starts an attempt, if possible on another endpoint than avoid.
func (c *hedgedCall) startAttempt(ctx context.Context, avoid string) {
	retriesSpent := c.call.RetriesSpent
	if c.started > 0 {
		retriesSpent++
	}
	next := newAttempt(c.sender, c.call, c.request, c.body, avoid, retriesSpent)
	attemptCtx, cancel := context.WithCancel(ctx)
	c.cancels[next] = cancel
	c.latest = next
	c.started++
	c.running++
	go func() {
		answer, err := next.run(attemptCtx)
		c.results <- attemptResult{
			attempt: next,
			answer:  answer,
			err:     err,
		}
	}()
}

// hedge starts another attempt when one is running, the latest has an endpoint, and the retry budget allows it. The new
// attempt avoids the endpoint of the latest.
func (c *hedgedCall) hedge(ctx context.Context) {
	endpoint := c.latest.endpointName()
	if endpoint != "" && c.running == 1 && c.started < maxAttempts && c.sender.takeFromBudget(c.call, c.body) {
		c.startAttempt(ctx, endpoint)
	}
}

// handleResult decides what the result of an attempt means for the call; done is false while another attempt runs.
func (c *hedgedCall) handleResult(
	ctx context.Context, result attemptResult,
) (answer *mtanswer.Answer, err error, done bool) {
	if result.err == nil && (!result.answer.IsRetryable() || result.answer.IsDownstreamFailure()) {
		return c.accept(result), nil, true
	}
	c.mayHaveRun = c.mayHaveRun || !result.attempt.isNotRun()
	if c.running > 0 {
		c.discard(result)
		return nil, nil, false
	}
	if c.takeRetry(ctx, result) {
		c.discard(result)
		c.startAttempt(ctx, result.attempt.endpointName())
		return nil, nil, false
	}
	if result.err != nil {
		c.cancelRemaining()
		return nil, c.combinedRefusal(result.err), true
	}
	return c.accept(result), nil, true
}

// combinedRefusal turns the refusal of the last attempt into one that is true for all attempts of the call.
func (c *hedgedCall) combinedRefusal(err error) error {
	refusal := refusalOf(err)
	if c.mayHaveRun && refusal.Outcome == mtoutcome.NotRun {
		return mtrefusal.NewUnknown(
			mtrefusal.AnswerLost, "an attempt may have run, and another could not be made: %s", refusal.Message,
		).WithRetryAfter(refusal.RetryAfter)
	}
	return refusal
}

// takeRetry reports whether the call may be retried after a result. A retry of an attempt that was sent is taken from
// the retry budget.
func (c *hedgedCall) takeRetry(ctx context.Context, result attemptResult) bool {
	if ctx.Err() != nil || c.started >= maxAttempts || result.attempt.endpointName() == "" {
		return false
	}
	if !result.attempt.sent {
		return true
	}
	return c.sender.takeFromBudget(c.call, c.body)
}

// accept returns the answer of a result and cancels the other attempts.
func (c *hedgedCall) accept(result attemptResult) *mtanswer.Answer {
	cancel := c.cancels[result.attempt]
	delete(c.cancels, result.attempt)
	c.cancelRemaining()
	finish := result.answer.Finish
	result.answer.Finish = func(complete bool) {
		finish(complete)
		cancel()
	}
	return result.answer
}

// discard finishes an attempt whose answer is not used.
func (c *hedgedCall) discard(result attemptResult) {
	if result.answer != nil {
		result.answer.Finish(false)
	}
	if cancel := c.cancels[result.attempt]; cancel != nil {
		cancel()
		delete(c.cancels, result.attempt)
	}
}

// cancelRemaining cancels the attempts that still run and discards their results.
func (c *hedgedCall) cancelRemaining() {
	for _, cancel := range c.cancels {
		cancel()
	}
	if c.running == 0 {
		return
	}
	go func() {
		for range c.running {
			c.discard(<-c.results)
		}
	}()
}
