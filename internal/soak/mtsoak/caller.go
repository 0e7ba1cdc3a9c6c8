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

	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// wait is how long a caller waits for its answer, as it tells the gateway; it reads on for waitMore.
	wait     = 3 * time.Second
	waitMore = 2 * time.Second
	// pauseMean is the mean time between two requests of one caller.
	pauseMean = 80 * time.Millisecond
	// payPart is the part of requests that are not idempotent.
	payPart = 0.4
	// leavePart is the part of requests after which a caller opens a new connection of its own accord.
	leavePart = 0.02
	// holdTime is how long a caller keeps the answer of the directory.
	holdTime = 1500 * time.Millisecond
	// askTimeout bounds a question to the directory, and dialTimeout the opening of a connection.
	askTimeout  = 500 * time.Millisecond
	dialTimeout = time.Second
)

// caller sends requests one after the other and keeps its connection for as long as it can.
type caller struct {
	run    *run
	number int
	random *rand.Rand

	count    int
	instance int
	conn     net.Conn
	reader   *bufio.Reader
	// used is when the connection was last known to be whole.
	used  time.Duration
	known []int
	asked time.Duration
}

// play sends requests until the context ends.
func (c *caller) play(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(pauseMean)))
		if c.conn == nil && !c.connect() {
			continue
		}
		c.count++
		c.call(fmt.Sprintf("%04x%012x", c.number, c.count), c.random.Float64() >= payPart)
		if c.random.Float64() < leavePart {
			c.drop()
		}
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an instance that the directory names.
func (c *caller) connect() bool {
	if len(c.known) == 0 || c.run.now()-c.asked > holdTime {
		c.ask()
	}
	if len(c.known) == 0 {
		return false
	}
	c.instance = c.known[c.random.IntN(len(c.known))]
	conn, err := net.DialTimeout("tcp", c.run.proxies[c.instance].Address(), dialTimeout)
	if err != nil {
		c.known = nil
		return false
	}
	c.use(conn)
	return true
}

func (c *caller) use(conn net.Conn) {
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	c.used = c.run.now()
}

// ask asks any instance which ones to use; without an answer the caller keeps what it knew.
func (c *caller) ask() {
	member := c.run.members[c.random.IntN(len(c.run.members))]
	client := http.Client{
		Timeout: askTimeout,
	}
	response, err := client.Get("http://" + member.Instance.Directory() + mtname.ResolvePath + "?name=" + mtfake.Host)
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
	c.known = c.known[:0]
	for _, address := range answer.Addresses {
		for number, member := range c.run.members {
			if member.Instance.Calls() == address {
				c.known = append(c.known, number)
			}
		}
	}
	c.asked = c.run.now()
}

// call sends one request, records how it ended and returns the status of the answer.
func (c *caller) call(id string, idempotent bool) int {
	call := mtpromise.Call{
		ID:         id,
		Service:    "pay",
		Idempotent: idempotent,
		Instance:   c.instance,
		Began:      c.run.now(),
		Wait:       wait,
	}
	method, path, body := http.MethodPost, "/pay/1", content(id)
	if idempotent {
		call.Service = "menu"
		method, path, body = http.MethodGet, "/menu/1", ""
	}
	c.run.ledger.Asked(id, call.Service, idempotent, c.instance, call.Began)
	last, err := c.exchange(&call, method, path, body)
	call.Ended = c.run.now()
	c.run.judge(&call, c.used, err)
	c.run.ledger.Finished(call)
	c.used = call.Ended
	if last {
		c.drop()
	}
	return call.Status
}

// exchange writes a request and reads its answer; last is set when the connection must not be used again.
func (c *caller) exchange(call *mtpromise.Call, method, path, body string) (last bool, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(wait + waitMore)); err != nil {
		return true, err
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, mtfake.Host,
		mtname.AttemptHeader, call.ID, mtname.DeadlineHeader, wait.Milliseconds())
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
	call.Status = response.StatusCode
	text := strings.Builder{}
	if _, err := io.Copy(&text, response.Body); err != nil {
		return true, err
	}
	call.Complete = true
	call.Right = call.Status != http.StatusOK || text.String() == answerContent(call.ID)
	return response.Close, nil
}

// judge says what may excuse the end of a request on a connection that was whole at a moment before.
func (r *run) judge(call *mtpromise.Call, whole time.Duration, err error) {
	from, to := whole-slackTime, call.Ended
	call.Excused = r.disturbances.touched(from, to, r.names[call.Instance])
	// An instance that leaves may close a connection, but not let a caller wait.
	call.Gone = r.disturbances.touched(from, to, leaving(call.Instance)) && !errors.Is(err, os.ErrDeadlineExceeded)
	call.Spoilt = r.disturbances.touched(from, to, r.endpointNames...)
}
