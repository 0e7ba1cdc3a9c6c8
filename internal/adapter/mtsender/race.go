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

// race holds the attempts of one idempotent call.
type race struct {
	sender  *Sender
	call    *mtcall.Call
	request *http.Request
	body    *mtbody.Body
	results chan ended
	cancels map[*try]context.CancelFunc
	started int
	running int
	latest  *try
	// mayHaveRun is set once an attempt has ended that may have run; from then on no refusal may say "not run".
	mayHaveRun bool
}

type ended struct {
	try    *try
	answer *mtanswer.Answer
	err    error
}

func newRace(sender *Sender, call *mtcall.Call, request *http.Request, body *mtbody.Body) *race {
	return &race{
		sender:  sender,
		call:    call,
		request: request,
		body:    body,
		results: make(chan ended, attemptLimit),
		cancels: map[*try]context.CancelFunc{},
	}
}

func (r *race) launch(ctx context.Context, avoid string) {
	spent := r.call.Spent
	if r.started > 0 {
		spent++
	}
	next := newTry(r.sender, r.call, r.request, r.body, avoid, spent)
	limited, cancel := context.WithCancel(ctx)
	r.cancels[next] = cancel
	r.latest = next
	r.started++
	r.running++
	go func() {
		answer, err := next.run(limited)
		r.results <- ended{
			try:    next,
			answer: answer,
			err:    err,
		}
	}()
}

// hedge launches a second attempt when the latest one has been sent and the budget allows.
func (r *race) hedge(ctx context.Context) {
	place := r.latest.place()
	if place != "" && r.running == 1 && r.started < attemptLimit && r.sender.mayRepeat(r.call, r.body) {
		r.launch(ctx, place)
	}
}

// settle decides what one ended attempt means for the call; over is false while another may do better.
func (r *race) settle(ctx context.Context, one ended) (answer *mtanswer.Answer, err error, over bool) {
	if one.err == nil && (!one.answer.IsRetryable() || one.answer.IsDeeper()) {
		return r.win(one), nil, true
	}
	r.mayHaveRun = r.mayHaveRun || !one.try.isNotRun()
	if r.running > 0 {
		r.discard(one)
		return nil, nil, false
	}
	if r.mayRetry(ctx, one) {
		r.discard(one)
		r.launch(ctx, one.try.place())
		return nil, nil, false
	}
	if one.err != nil {
		r.end()
		return nil, r.truthful(one.err), true
	}
	return r.win(one), nil, true
}

// truthful turns the refusal of the last attempt into one that holds for all attempts of the call.
func (r *race) truthful(err error) error {
	refusal := refusalOf(err)
	if r.mayHaveRun && refusal.Outcome == mtoutcome.NotRun {
		return mtrefusal.Unknown(mtrefusal.Lost, "an attempt may have run, and another could not be made: %s", refusal.Message).After(refusal.Retry)
	}
	return refusal
}

func (r *race) mayRetry(ctx context.Context, one ended) bool {
	if ctx.Err() != nil || r.started >= attemptLimit || one.try.place() == "" {
		return false
	}
	if !one.try.sent {
		return true
	}
	return r.sender.mayRepeat(r.call, r.body)
}

// win ends all attempts but one, whose answer the caller gets.
func (r *race) win(one ended) *mtanswer.Answer {
	cancel := r.cancels[one.try]
	delete(r.cancels, one.try)
	r.end()
	finish := one.answer.Finish
	one.answer.Finish = func(whole bool) {
		finish(whole)
		cancel()
	}
	return one.answer
}

func (r *race) discard(one ended) {
	if one.answer != nil {
		one.answer.Finish(false)
	}
	if cancel := r.cancels[one.try]; cancel != nil {
		cancel()
		delete(r.cancels, one.try)
	}
}

// end cancels the attempts that still run and discards what they bring.
func (r *race) end() {
	for _, cancel := range r.cancels {
		cancel()
	}
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			r.discard(<-r.results)
		}
	}()
}
