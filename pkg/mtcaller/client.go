// The failover rules of one call, by what went wrong:
//
//	no connection to the instance     nothing was sent      next instance, new key
//	refused as not run, retryable     it will never run     next instance, new key
//	refused as unknown                it may have run       the error says so
//	connection broke, once            it may have run       the home is asked through another instance with the same key
//	connection broke, idempotent      running twice is fine next instance
//
// A refusal over a limit is returned at once with the time after which to come back.

package mtcaller

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	attemptLimit = 4
	answerLimit  = 16 << 20
	keyHeader    = "Idempotency-Key"
)

var (
	namespace = errorx.NewNamespace("caller")
	// NotRun is the type of the error for a call that did not run and never will.
	NotRun = namespace.NewType("not_run")
	// Unknown is the type of the error for a call that may have run.
	Unknown = namespace.NewType("unknown")
	// Forbidden is the type of the error for a team that may not call the service; the call did not run.
	Forbidden = NotRun.NewSubtype("forbidden")
	// NoEntry is the type of the error for a caller that reaches no entry instance; the call did not run.
	NoEntry = NotRun.NewSubtype("no_entry")
)

// Call is one call of a method.
type Call struct {
	// Service is the package and service, such as kilele.menu.v1.MenuService.
	Service string
	Method  string
	Header  http.Header
	Body    []byte
	// Idempotent is set when the caller knows that the call may run twice.
	Idempotent bool
}

// Answer is the whole answer of an endpoint, or a refusal that another entry instance can't better.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// Outcome is empty for an endpoint's answer.
	Outcome mtoutcome.Outcome
	// Reason names why the call was refused; it is empty for an endpoint's answer.
	Reason string
	// Retry is how long to wait before another call, or 0.
	Retry time.Duration
}

// Client calls services with the token of one team; it is safe for use by many goroutines.
type Client struct {
	token    string
	centre   string
	scheme   string
	entries  []string
	http     *http.Client
	resolver *resolver
}

// Option changes a client under construction.
type Option func(*Client)

// WithCentre sets the data centre whose entry instances are used first.
func WithCentre(centre string) Option {
	return func(c *Client) {
		c.centre = centre
	}
}

// WithTLS makes the client speak TLS to the entry instances; it replaces the transport.
func WithTLS(config *tls.Config) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.http.Transport = newTransport(config)
	}
}

// WithTransport sets the transport to the entry instances.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) {
		c.http.Transport = transport
	}
}

// NewClient returns a client that finds entry instances through the given addresses, each an IP number and a port.
func NewClient(token string, entries []string, options ...Option) *Client {
	client := &Client{
		token:   token,
		scheme:  "http",
		entries: entries,
		http: &http.Client{
			Transport: newTransport(nil),
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
	for _, option := range options {
		option(client)
	}
	client.resolver = newResolver(client)
	return client
}

func newTransport(config *tls.Config) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
		TLSClientConfig:     config,
	}
}

// Do makes a call and returns the whole answer; an error is of type NotRun or Unknown.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		answer, err := c.attempt(ctx, call, attempt)
		mayHaveRun = mayHaveRun || errorx.IsOfType(err, Unknown) || err == nil && answer.Outcome == mtoutcome.Unknown
		if err == nil && (attempt == attemptLimit-1 || !isMoveable(answer)) {
			return truthful(answer, mayHaveRun), nil
		}
		if err != nil && (attempt == attemptLimit-1 || !c.mayRepeat(ctx, call, err)) {
			if mayHaveRun && errorx.IsOfType(err, NotRun) {
				return nil, Unknown.Wrap(err, "an earlier attempt may have run")
			}
			return nil, err
		}
		if err != nil {
			c.resolver.forget(call.Service)
		}
	}
}

func (c *Client) attempt(ctx context.Context, call Call, attempt int) (*Answer, error) {
	target, err := c.resolver.pick(ctx, call.Service, attempt)
	if err != nil {
		return nil, err
	}
	return c.try(ctx, call, target)
}

// truthful keeps a refusal of the last attempt from saying that the call did not run when an earlier attempt may have.
func truthful(answer *Answer, mayHaveRun bool) *Answer {
	if mayHaveRun && answer.Outcome == mtoutcome.NotRun {
		answer.Outcome = mtoutcome.Unknown
		answer.Header.Set(mtoutcome.Header, string(mtoutcome.Unknown))
	}
	return answer
}

// isMoveable reports whether another entry instance may serve a call that was refused as not run.
func isMoveable(answer *Answer) bool {
	return answer.Outcome == mtoutcome.NotRun && answer.Status == http.StatusServiceUnavailable
}

func (c *Client) mayRepeat(ctx context.Context, call Call, err error) bool {
	return ctx.Err() == nil && (call.Idempotent || errorx.IsOfType(err, NotRun))
}

func (c *Client) try(ctx context.Context, call Call, target target) (*Answer, error) {
	key := ""
	if !call.Idempotent {
		key = target.ticket + "-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	answer, err := c.send(ctx, call, target.address, key)
	if err == nil {
		return answer, nil
	}
	if isNeverSent(err) {
		return nil, NotRun.Wrap(err, "entry instance %s takes no connection", target.address)
	}
	if key == "" {
		return nil, Unknown.Wrap(err, "the connection to entry instance %s broke", target.address)
	}
	return c.settle(ctx, call, target, key, err)
}

// settle asks another entry instance what became of a key.
func (c *Client) settle(ctx context.Context, call Call, home target, key string, cause error) (*Answer, error) {
	other, err := c.resolver.other(ctx, call.Service, home)
	if err == nil {
		answer, err := c.send(ctx, call, other.address, key)
		if err == nil && answer.Outcome == mtoutcome.NotRun {
			return nil, NotRun.Wrap(cause, "entry instance %s did not run the call", home.address)
		}
	}
	return nil, Unknown.Wrap(cause, "the connection to entry instance %s broke and its outcome is not known", home.address)
}

func isNeverSent(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// opaque hides the type of a body, so that net/http can't replay the request by itself.
type opaque struct {
	io.Reader
}

func (c *Client) send(ctx context.Context, call Call, address, key string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+address+"/"+call.Service+"/"+call.Method, opaque{
		Reader: bytes.NewReader(call.Body),
	})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	if key != "" {
		request.Header.Set(keyHeader, key)
	}
	if deadline, found := ctx.Deadline(); found {
		request.Header.Set("Connect-Timeout-Ms", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	return readAnswer(response)
}

func readAnswer(response *http.Response) (*Answer, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimit+1))
	if err != nil {
		return nil, err
	}
	if len(body) > answerLimit {
		return nil, Unknown.New("the answer has more than %d bytes", answerLimit)
	}
	retry, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: response.Trailer,
		Body:    body,
		Reason:  response.Header.Get(mtoutcome.ReasonHeader),
		Outcome: mtoutcome.Outcome(response.Header.Get(mtoutcome.Header)),
		Retry:   time.Duration(retry) * time.Second,
	}, nil
}
