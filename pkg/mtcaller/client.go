// The failover rules of one call, by what went wrong:
//
//	no connection to the instance     nothing was sent      next instance, new key
//	refused as not run, retryable     it will never run     next instance, new key
//	refused as unknown                it may have run       the refusal is returned with this outcome
//	connection broke, at most once    it may have run       another instance finds out the outcome by the same key
//	connection broke, idempotent      it may run twice      next instance
//
// A refusal over a limit is returned at once, with the time after which to retry.

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

	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	maxAttempts          = 4
	maxAnswerBytes       = 16 << 20
	idempotencyKeyHeader = "Idempotency-Key"
)

var (
	errorNamespace = errorx.NewNamespace("caller")
	// NotRun is the type of the error for a call that did not run and never will.
	NotRun = errorNamespace.NewType("not_run")
	// Unknown is the type of the error for a call that may have run.
	Unknown = errorNamespace.NewType("unknown")
	// Forbidden is the type of the error for an unknown token or a team that may not call the service; the call did not
	// run.
	Forbidden = NotRun.NewSubtype("forbidden")
	// NoEntry is the type of the error when no entry instance is reachable or serves the service; the call did not run.
	NoEntry = NotRun.NewSubtype("no_entry")
)

// Call is one call of a method.
type Call struct {
	// Service is the package and service, such as kilele.menu.v1.MenuService.
	Service string
	Method  string
	Header  http.Header
	Body    []byte
	// Idempotent states that the call may run twice without harm; other calls run at most once.
	Idempotent bool
}

// Answer is the complete response of an endpoint, or the refusal by an entry instance after which Do stopped trying.
type Answer struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    []byte
	// Outcome states whether a refused call ran; it is empty for an endpoint's response.
	Outcome mtoutcome.Outcome
	// Reason names why the call was refused; it is empty for an endpoint's response.
	Reason string
	// Retry is the time to wait before the next call, or 0 if none was given.
	Retry time.Duration
}

// Client calls services with the token of one team; it is safe for concurrent use.
type Client struct {
	token          string
	centre         string
	scheme         string
	entryAddresses []string
	http           *http.Client
	resolver       *resolver
}

// Option configures a client in NewClient.
type Option func(*Client)

// WithCentre sets the data centre of the caller, whose entry instances are preferred.
func WithCentre(centre string) Option {
	return func(c *Client) {
		c.centre = centre
	}
}

// WithTLS makes the client use TLS to the entry instances; it replaces the transport.
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

// NewClient returns a client that resolves services at the entry instances with the given addresses, each an IP address
// and a port.
func NewClient(token string, entryAddresses []string, options ...Option) *Client {
	client := &Client{
		token:          token,
		scheme:         "http",
		entryAddresses: entryAddresses,
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

// newTransport returns a transport that refuses responses which HTTP/1.1 does not allow, or which end early.
func newTransport(config *tls.Config) http.RoundTripper {
	return mtresponseguard.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
		TLSClientConfig:     config,
	})
}

// Do makes a call, fails over between entry instances and returns the complete answer. An error is of type NotRun or
// Unknown, or of a subtype.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	mayHaveRun := false
	for attempt := 0; ; attempt++ {
		answer, err := c.attempt(ctx, call, attempt)
		mayHaveRun = mayHaveRun || errorx.IsOfType(err, Unknown) || err == nil && answer.Outcome == mtoutcome.Unknown
		if err == nil && (attempt == maxAttempts-1 || !mayFailOver(answer)) {
			return withUnknownOutcome(answer, mayHaveRun), nil
		}
		if err != nil && (attempt == maxAttempts-1 || !c.mayRetry(ctx, call, err)) {
			if mayHaveRun && errorx.IsOfType(err, NotRun) {
				return nil, Unknown.Wrap(err, "an earlier attempt may have run")
			}
			return nil, err
		}
		if err != nil {
			c.resolver.invalidate(call.Service)
		}
	}
}

// attempt sends a call to the instance that the resolver picks for an attempt, counted from 0.
func (c *Client) attempt(ctx context.Context, call Call, attempt int) (*Answer, error) {
	target, err := c.resolver.pick(ctx, call.Service, attempt)
	if err != nil {
		return nil, err
	}
	return c.attemptAt(ctx, call, target)
}

// withUnknownOutcome changes the outcome of the last attempt from NotRun to Unknown when an earlier attempt may have
// run.
func withUnknownOutcome(answer *Answer, mayHaveRun bool) *Answer {
	if mayHaveRun && answer.Outcome == mtoutcome.NotRun {
		answer.Outcome = mtoutcome.Unknown
		answer.Header.Set(mtoutcome.Header, string(mtoutcome.Unknown))
	}
	return answer
}

// mayFailOver reports whether the call was refused as not run and another entry instance may serve it.
func mayFailOver(answer *Answer) bool {
	return answer.Outcome == mtoutcome.NotRun && answer.Status == http.StatusServiceUnavailable
}

// mayRetry reports whether a call may be sent again after an error of an attempt.
func (c *Client) mayRetry(ctx context.Context, call Call, err error) bool {
	return ctx.Err() == nil && (call.Idempotent || errorx.IsOfType(err, NotRun))
}

// attemptAt sends a call to a target, with a new key unless the call is idempotent.
func (c *Client) attemptAt(ctx context.Context, call Call, target target) (*Answer, error) {
	key := ""
	if !call.Idempotent {
		key = target.ticket + "-" + strconv.FormatUint(rand.Uint64(), 36)
	}
	answer, err := c.send(ctx, call, target.address, key)
	if err == nil {
		return answer, nil
	}
	if isDialError(err) {
		return nil, NotRun.Wrap(err, "connecting to entry instance %s failed", target.address)
	}
	if key == "" {
		return nil, Unknown.Wrap(err, "the connection to entry instance %s failed during the call", target.address)
	}
	return c.queryOutcome(ctx, call, target, key, err)
}

// queryOutcome sends the call with the same key to another entry instance than the one that issued the key's ticket.
// That instance doesn't run the call but answers with its outcome.
func (c *Client) queryOutcome(ctx context.Context, call Call, issuer target, key string, cause error) (*Answer, error) {
	other, err := c.resolver.alternative(ctx, call.Service, issuer)
	if err == nil {
		answer, err := c.send(ctx, call, other.address, key)
		if err == nil && answer.Outcome == mtoutcome.NotRun {
			return nil, NotRun.Wrap(cause, "entry instance %s did not run the call", issuer.address)
		}
	}
	return nil, Unknown.Wrap(cause, "the connection to entry instance %s failed during the call and the outcome is unknown",
		issuer.address)
}

// isDialError reports whether no connection could be made, so that nothing was sent.
func isDialError(err error) bool {
	var networkError *net.OpError
	return errors.As(err, &networkError) && networkError.Op == "dial"
}

// unreplayableBody hides the type of a body, so that net/http can't send the request again on its own.
type unreplayableBody struct {
	io.Reader
}

// send sends a call to an entry instance, with a key unless it is empty, and reads the whole response.
func (c *Client) send(ctx context.Context, call Call, address, key string) (*Answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		c.scheme+"://"+address+"/"+call.Service+"/"+call.Method, unreplayableBody{
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
		request.Header.Set(idempotencyKeyHeader, key)
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, Unknown.New("the response body exceeds %d bytes", maxAnswerBytes)
	}
	retrySeconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: response.Trailer,
		Body:    body,
		Reason:  response.Header.Get(mtoutcome.ReasonHeader),
		Outcome: mtoutcome.Outcome(response.Header.Get(mtoutcome.Header)),
		Retry:   time.Duration(retrySeconds) * time.Second,
	}, nil
}
