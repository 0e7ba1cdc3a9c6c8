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
	// hop is taken from the deadline at each hop, for the way back.
	hop = time.Millisecond
	// wholeLimit bounds the answers that are read whole before the caller sees them, in bytes.
	wholeLimit = 64 << 10
)

// try is one attempt of one call.
type try struct {
	sender   *Sender
	call     *mtcall.Call
	request  *http.Request
	body     *mtbody.Body
	avoid    string
	spent    int
	id       string
	attempt  mtattempt.Attempt
	endpoint atomic.Pointer[string]
	sent     bool
}

func newTry(sender *Sender, call *mtcall.Call, request *http.Request, body *mtbody.Body, avoid string, spent int) *try {
	return &try{
		sender:  sender,
		call:    call,
		request: request,
		body:    body,
		avoid:   avoid,
		spent:   spent,
		id:      strconv.FormatUint(rand.Uint64(), 36),
	}
}

func (t *try) isNotRun() bool {
	return t.attempt.Outcome() == mtoutcome.NotRun
}

// place returns the name of the endpoint that the attempt is bound to, or an empty string before it is bound.
func (t *try) place() string {
	if name := t.endpoint.Load(); name != nil {
		return *name
	}
	return ""
}

// run takes the attempt from waiting to its end; the error is a refusal.
func (t *try) run(ctx context.Context) (*mtanswer.Answer, error) {
	stop := context.AfterFunc(ctx, func() {
		t.attempt.Close()
	})
	defer stop()
	lease, err := t.sender.router.Acquire(ctx, t.call, t.avoid)
	if err != nil {
		t.attempt.Close()
		return nil, refusalOf(err)
	}
	t.endpoint.Store(&lease.Endpoint)
	conn, err := t.sender.connector.Get(ctx, t.sender.target(t.call, lease.Address), time.Now())
	if err != nil {
		t.attempt.Close()
		lease.Done(ctx.Err() == nil, time.Now())
		return nil, refusalOf(err)
	}
	if time.Now().After(t.call.Deadline) || !t.attempt.Commit() {
		t.attempt.Close()
		conn.ReleaseUnused()
		lease.Abandon()
		return nil, t.stopped(ctx)
	}
	return t.send(ctx, lease, conn)
}

func (t *try) stopped(ctx context.Context) *mtrefusal.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return mtrefusal.NotRun(mtrefusal.Cancelled, "the caller left before the call was sent")
	}
	return mtrefusal.NotRun(mtrefusal.Deadline, "the deadline came before the call was sent")
}

// send writes a committed attempt to its connection.
func (t *try) send(ctx context.Context, lease *mtrouter.Lease, conn *mtpool.Conn) (*mtanswer.Answer, error) {
	t.sent = true
	response, err := conn.RoundTrip(t.outgoing(ctx, lease.Address))
	now := time.Now()
	if err != nil {
		conn.Release(false, now)
		return nil, t.lose(ctx, lease, err)
	}
	if report, found := mtload.Parse(response.Header.Get(mtload.Header)); found {
		lease.Report(report, now)
		response.Header.Del(mtload.Header)
	}
	answer := &mtanswer.Answer{
		Response: response,
	}
	answer.Finish = func(whole bool) {
		t.finish(ctx, lease, conn, answer, whole)
	}
	if response.Header.Get(mtcall.RefusedHeader) == t.id {
		return nil, t.refused(answer)
	}
	return t.settle(ctx, answer)
}

// settle reads a small answer of an idempotent call whole.
func (t *try) settle(ctx context.Context, answer *mtanswer.Answer) (*mtanswer.Answer, error) {
	response := answer.Response
	if !t.call.Idempotent || response.ContentLength < 0 || response.ContentLength > wholeLimit {
		t.attempt.Answer()
		return answer, nil
	}
	whole, err := io.ReadAll(response.Body)
	if err != nil {
		t.attempt.Lose()
		answer.Finish(false)
		return nil, broken(ctx)
	}
	t.attempt.Answer()
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(whole))
	return answer, nil
}

func (t *try) finish(ctx context.Context, lease *mtrouter.Lease, conn *mtpool.Conn, answer *mtanswer.Answer, whole bool) {
	now := time.Now()
	answer.Response.Body.Close()
	conn.Release(whole, now)
	switch {
	case answer.IsFailure() && !answer.IsDeeper():
		lease.Done(true, now)
	case whole:
		lease.Done(false, now)
	case ctx.Err() != nil:
		lease.Abandon()
	default:
		lease.Done(true, now)
	}
}

// refused ends an attempt whose endpoint stated that it ran nothing.
func (t *try) refused(answer *mtanswer.Answer) *mtrefusal.Refusal {
	t.attempt.Refuse()
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Response.Body, wholeLimit))
	answer.Finish(err == nil)
	return mtrefusal.NotRun(mtrefusal.Busy, "the endpoint refused the call before running it").After(time.Second)
}

// lose ends an attempt without an answer.
func (t *try) lose(ctx context.Context, lease *mtrouter.Lease, err error) *mtrefusal.Refusal {
	if mtpool.IsUnprocessed(err) {
		t.attempt.Refuse()
		lease.Abandon()
		return mtrefusal.NotRun(mtrefusal.Busy, "the endpoint refused the call before running it").After(time.Second)
	}
	t.attempt.Lose()
	if ctx.Err() != nil {
		lease.Abandon()
	} else {
		lease.Done(true, time.Now())
	}
	return broken(ctx)
}

func broken(ctx context.Context) *mtrefusal.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return mtrefusal.Unknown(mtrefusal.Deadline, "the deadline came while the call was running")
	case ctx.Err() != nil:
		return mtrefusal.Unknown(mtrefusal.Cancelled, "the caller left while the call was running")
	default:
		return mtrefusal.Unknown(mtrefusal.Lost, "the connection to the endpoint broke while the call was running")
	}
}

// outgoing returns the request to the endpoint. Its body is of no type that net/http could replay.
func (t *try) outgoing(ctx context.Context, address string) *http.Request {
	header := http.Header{}
	mtheader.CopyEndToEnd(header, t.request.Header)
	header.Del("Authorization")
	header[mtcall.CustomerHeader] = []string{t.call.Customer}
	header[mtcall.TeamHeader] = []string{t.call.Team.GetName()}
	header[mtcall.AttemptHeader] = []string{t.id}
	header[mtcall.SpentHeader] = []string{strconv.Itoa(t.spent)}
	if t.request.Header.Get("Te") == "trailers" {
		header["Te"] = []string{"trailers"}
	}
	mtdeadline.Write(header, time.Until(t.call.Deadline)-hop)
	outgoing := &http.Request{
		Method: t.request.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address,
			Path:     t.request.URL.Path,
			RawPath:  t.request.URL.RawPath,
			RawQuery: t.request.URL.RawQuery,
		},
		Host:          t.request.Host,
		Header:        header,
		ContentLength: t.request.ContentLength,
		Trailer:       t.request.Trailer,
	}
	if t.request.ContentLength != 0 {
		outgoing.Body = t.body.Open()
	}
	return outgoing.WithContext(ctx)
}
