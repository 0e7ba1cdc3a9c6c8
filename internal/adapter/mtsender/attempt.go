package mtsender

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtanswer"
	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/adapter/mtheader"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/core/mtattempt"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtdeadline"
	"github.com/mangotack/mangotack/internal/core/mtload"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	h2c = mtrecord.H2C
	// returnMargin is subtracted from the deadline at each hop, so that the answer has time to travel back.
	returnMargin = time.Millisecond
	// maxBufferedBytes bounds the answers that are read completely before they are sent to the caller.
	maxBufferedBytes = 64 << 10
)

// attempt is one attempt to send a call to an endpoint.
type attempt struct {
	sender  *Sender
	call    *mtcall.Call
	request *http.Request
	body    *mtbody.Body
	// avoid names an endpoint that is used only if there is no other.
	avoid string
	// retriesSpent is the number of retries at previous hops, plus one if this attempt is itself a retry or a hedge.
	// The endpoint receives it in mtcall.RetriesSpentHeader.
	retriesSpent int
	id           string
	state        mtattempt.Attempt
	// endpoint is the name of the endpoint, nil until one is assigned.
	endpoint atomic.Pointer[string]
	// sent is set before the first byte is written to the endpoint.
	sent bool
}

func newAttempt(
	sender *Sender, call *mtcall.Call, request *http.Request, body *mtbody.Body, avoid string, retriesSpent int,
) *attempt {
	return &attempt{
		sender:       sender,
		call:         call,
		request:      request,
		body:         body,
		avoid:        avoid,
		retriesSpent: retriesSpent,
		id:           strconv.FormatUint(rand.Uint64(), 36),
	}
}

// isNotRun reports whether the endpoint verifiably did not run the call.
func (a *attempt) isNotRun() bool {
	return a.state.Outcome() == mtoutcome.NotRun
}

// endpointName returns the name of the endpoint of the attempt, or an empty string before one is assigned.
func (a *attempt) endpointName() string {
	if name := a.endpoint.Load(); name != nil {
		return *name
	}
	return ""
}

// run waits for an endpoint and a connection and sends the call; the error is a refusal.
func (a *attempt) run(ctx context.Context) (*mtanswer.Answer, error) {
	stop := context.AfterFunc(ctx, func() {
		a.state.Close()
	})
	defer stop()
	lease, err := a.sender.router.Acquire(ctx, a.call, a.avoid)
	if err != nil {
		a.state.Close()
		return nil, refusalOf(err)
	}
	a.endpoint.Store(&lease.EndpointName)
	conn, err := a.sender.connPool.Get(ctx, a.sender.target(a.call, lease.Address), time.Now())
	if err != nil {
		a.state.Close()
		lease.Done(ctx.Err() == nil, time.Now())
		return nil, refusalOf(err)
	}
	if time.Now().After(a.call.Deadline) || !a.state.Commit() {
		a.state.Close()
		conn.ReleaseUnused()
		lease.Abandon()
		return nil, a.notSentRefusal(ctx)
	}
	return a.send(ctx, lease, conn)
}

// notSentRefusal returns the refusal for an attempt that was cancelled or passed its deadline before it was sent.
func (a *attempt) notSentRefusal(ctx context.Context) *mtrefusal.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return mtrefusal.NewNotRun(mtrefusal.Cancelled, "the caller left before the call was sent")
	}
	return mtrefusal.NewNotRun(mtrefusal.Deadline, "the deadline came before the call was sent")
}

// send sends a committed attempt on its connection.
func (a *attempt) send(ctx context.Context, lease *mtrouter.Lease, conn *mtpool.Conn) (*mtanswer.Answer, error) {
	a.sent = true
	response, err := conn.RoundTrip(a.newRequest(ctx, lease.Address))
	now := time.Now()
	if err != nil {
		conn.Release(false, now)
		return nil, a.handleSendError(ctx, lease, err)
	}
	if report, found := mtload.Parse(response.Header.Get(mtload.Header)); found {
		lease.RecordLoad(report, now)
		response.Header.Del(mtload.Header)
	}
	answer := &mtanswer.Answer{
		Response: response,
	}
	answer.Finish = func(complete bool) {
		a.finish(ctx, lease, conn, answer, complete)
	}
	if response.Header.Get(mtcall.RefusedAttemptHeader) == a.id {
		return nil, a.handleRefusal(answer)
	}
	return a.bufferAnswer(ctx, answer)
}

// bufferAnswer reads a small answer of an idempotent call into memory; other answers are passed on as they arrive.
func (a *attempt) bufferAnswer(ctx context.Context, answer *mtanswer.Answer) (*mtanswer.Answer, error) {
	response := answer.Response
	if !a.call.Idempotent || response.ContentLength < 0 || response.ContentLength > maxBufferedBytes {
		a.state.MarkAnswered()
		return answer, nil
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		a.state.MarkUnknown()
		answer.Finish(false)
		return nil, unknownRefusal(ctx)
	}
	a.state.MarkAnswered()
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	return answer, nil
}

// finish releases the connection and ends the lease; complete is set when the answer was read to its end.
func (a *attempt) finish(
	ctx context.Context, lease *mtrouter.Lease, conn *mtpool.Conn, answer *mtanswer.Answer, complete bool,
) {
	now := time.Now()
	answer.Response.Body.Close()
	conn.Release(complete, now)
	switch {
	case answer.IsFailure() && !answer.IsDownstreamFailure():
		lease.Done(true, now)
	case complete:
		lease.Done(false, now)
	case ctx.Err() != nil:
		lease.Abandon()
	default:
		lease.Done(true, now)
	}
}

// handleRefusal finishes an attempt whose endpoint stated that it did not run the call.
func (a *attempt) handleRefusal(answer *mtanswer.Answer) *mtrefusal.Refusal {
	a.state.MarkRefused()
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Response.Body, maxBufferedBytes))
	answer.Finish(err == nil)
	return mtrefusal.NewNotRun(mtrefusal.Busy, "the endpoint refused the call before running it").WithRetryAfter(time.Second)
}

// handleSendError finishes an attempt that failed without an answer.
func (a *attempt) handleSendError(ctx context.Context, lease *mtrouter.Lease, err error) *mtrefusal.Refusal {
	if mtpool.IsUnprocessed(err) {
		a.state.MarkRefused()
		lease.Abandon()
		return mtrefusal.NewNotRun(mtrefusal.Busy, "the endpoint refused the call before running it").WithRetryAfter(time.Second)
	}
	a.state.MarkUnknown()
	if ctx.Err() != nil {
		lease.Abandon()
	} else {
		lease.Done(true, time.Now())
	}
	return unknownRefusal(ctx)
}

// unknownRefusal returns the refusal for an attempt that was sent but got no complete answer, so it may have run.
func unknownRefusal(ctx context.Context) *mtrefusal.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mtrefusal.NewUnknown(mtrefusal.Deadline, "the deadline came while the call was running")
	case ctx.Err() != nil:
		return mtrefusal.NewUnknown(mtrefusal.Cancelled, "the caller left while the call was running")
	default:
		return mtrefusal.NewUnknown(mtrefusal.AnswerLost, "the connection to the endpoint broke while the call was running")
	}
}

// newRequest returns the request to the endpoint. Its body has a type that net/http can't replay.
func (a *attempt) newRequest(ctx context.Context, address string) *http.Request {
	header := http.Header{}
	mtheader.CopyEndToEnd(header, a.request.Header)
	header.Del("Authorization")
	header[mtcall.CustomerHeader] = []string{a.call.Customer}
	header[mtcall.TeamHeader] = []string{a.call.Team.GetName()}
	header[mtcall.AttemptIDHeader] = []string{a.id}
	header[mtcall.RetriesSpentHeader] = []string{strconv.Itoa(a.retriesSpent)}
	if a.request.Header.Get("Te") == "trailers" {
		header["Te"] = []string{"trailers"}
	}
	mtdeadline.Write(header, time.Until(a.call.Deadline)-returnMargin)
	request := &http.Request{
		Method: a.request.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address,
			Path:     a.request.URL.Path,
			RawPath:  a.request.URL.RawPath,
			RawQuery: a.request.URL.RawQuery,
		},
		Host:          a.request.Host,
		Header:        header,
		ContentLength: a.request.ContentLength,
		Trailer:       a.request.Trailer,
	}
	if a.request.ContentLength != 0 {
		request.Body = a.body.NewReader()
	}
	return request.WithContext(ctx)
}
