package mtsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// callTimeout is the time-out that a caller sends to the gateway; it reads for readGrace longer.
	callTimeout = 3 * time.Second
	readGrace   = 2 * time.Second
	// meanThinkTime is the mean time between two requests of one caller.
	meanThinkTime = 80 * time.Millisecond
	// nonIdempotentRatio is the ratio of requests that are not idempotent.
	nonIdempotentRatio = 0.4
	// reconnectRatio is the ratio of requests after which a caller closes its connection and opens a new one.
	reconnectRatio = 0.02
	// resolveTTL is how long a caller caches the addresses from the directory.
	resolveTTL = 1500 * time.Millisecond
	// directoryTimeout bounds a request to the directory, and dialTimeout the opening of a connection.
	directoryTimeout = 500 * time.Millisecond
	dialTimeout      = time.Second
)

// caller sends one request at a time and reuses its connection for as long as it can.
type caller struct {
	run    *run
	index  int
	random *rand.Rand

	requests int
	instance int
	conn     net.Conn
	reader   *bufio.Reader
	// healthyAt is when the connection was opened or the last request on it ended.
	healthyAt  time.Duration
	resolved   []int
	resolvedAt time.Duration
}

// sendRequests sends requests until the context ends.
func (c *caller) sendRequests(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(meanThinkTime)))
		if c.conn == nil && !c.connect() {
			continue
		}
		c.requests++
		c.send(fmt.Sprintf("%04x%012x", c.index, c.requests), c.random.Float64() >= nonIdempotentRatio)
		if c.random.Float64() < reconnectRatio {
			c.closeConn()
		}
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an instance that the directory returns, and reports whether it did.
func (c *caller) connect() bool {
	if len(c.resolved) == 0 || c.run.now()-c.resolvedAt > resolveTTL {
		c.resolve()
	}
	if len(c.resolved) == 0 {
		return false
	}
	c.instance = c.resolved[c.random.IntN(len(c.resolved))]
	conn, err := net.DialTimeout("tcp", c.run.proxies[c.instance].Address(), dialTimeout)
	if err != nil {
		c.resolved = nil
		return false
	}
	c.setConn(conn)
	return true
}

func (c *caller) setConn(conn net.Conn) {
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.healthyAt = c.run.now()
}

// resolve gets the instances to use from the directory of any one; if that fails, the caller keeps the cached ones.
func (c *caller) resolve() {
	gateway := c.run.gateways[c.random.IntN(len(c.run.gateways))]
	client := http.Client{
		Timeout: directoryTimeout,
	}
	response, err := client.Get("http://" + gateway.Instance.DirectoryAddress() + mtname.ResolvePath + "?name=" + mtfake.VirtualHost)
	if err != nil {
		return
	}
	defer response.Body.Close()
	answer := struct {
		Addresses []string `json:"addresses"`
	}{}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return
	}
	c.resolved = c.resolved[:0]
	for _, address := range answer.Addresses {
		for index, gateway := range c.run.gateways {
			if gateway.Instance.CallsAddress() == address {
				c.resolved = append(c.resolved, index)
			}
		}
	}
	c.resolvedAt = c.run.now()
}

// send sends one request, records how it ended and returns the status of the answer, or 0.
func (c *caller) send(id string, idempotent bool) int {
	result := mtinvariant.CallResult{
		ID:            id,
		Service:       "pay",
		Idempotent:    idempotent,
		Instance:      c.instance,
		BeganAt:       c.run.now(),
		CallerTimeout: callTimeout,
	}
	method, path, body := http.MethodPost, "/pay/1", requestBody(id)
	if idempotent {
		result.Service = "menu"
		method, path, body = http.MethodGet, "/menu/1", ""
	}
	c.run.checker.RequestSent(id, result.Service, idempotent, c.instance, result.BeganAt)
	mustClose, err := c.roundTrip(&result, method, path, body)
	result.EndedAt = c.run.now()
	c.run.markFaults(&result, c.healthyAt, err)
	c.run.checker.RequestEnded(result)
	c.healthyAt = result.EndedAt
	if mustClose {
		c.closeConn()
	}
	return result.Status
}

// roundTrip writes a request and reads its answer; mustClose is set when the connection must not be used again.
func (c *caller) roundTrip(result *mtinvariant.CallResult, method, path, body string) (mustClose bool, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout + readGrace)); err != nil {
		return true, err
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", method, path, mtfake.VirtualHost,
		mtname.AttemptIDHeader, result.ID, mtname.DeadlineHeader, callTimeout.Milliseconds(), mtname.KeyHeader, lastingKey)
	if body != "" {
		request += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c.conn, request+"\r\n"+body); err != nil {
		return true, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, err
	}
	result.Status = response.StatusCode
	answer := strings.Builder{}
	if _, err := io.Copy(&answer, response.Body); err != nil {
		return true, err
	}
	result.Complete = true
	result.Correct = result.Status != http.StatusOK || answer.String() == answerBody(result.ID)
	return response.Close, nil
}

// markFaults marks the faults from faultMargin before healthyAt until the end of a call, which may explain how the call
// ended.
func (r *run) markFaults(result *mtinvariant.CallResult, healthyAt time.Duration, err error) {
	from, to := healthyAt-faultMargin, result.EndedAt
	result.InstanceFault = r.faults.overlaps(from, to, r.instanceNames[result.Instance])
	// An instance that stops may close a connection, but must not let a caller wait until it times out.
	result.InstanceStopping = r.faults.overlaps(from, to, stoppingKey(result.Instance)) &&
		!errors.Is(err, os.ErrDeadlineExceeded)
	result.EndpointFault = r.faults.overlaps(from, to, r.endpointNames...)
}
