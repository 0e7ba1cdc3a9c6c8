package mtsoak

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtpromise"
	"github.com/mangotack/mangotack/internal/soak/mtproxy"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// slots is the number of requests that an endpoint runs at once.
	slots = 4
	// workLeast and workSpread bound the time of one request.
	workLeast  = 4 * time.Millisecond
	workSpread = 20 * time.Millisecond
	// longWorkPart is the part of requests that take longWork, so that instances stop while such are under way.
	longWorkPart = 25
	longWork     = 1800 * time.Millisecond
	// slowFactor is how much longer requests take at a slow endpoint.
	slowFactor = 15
	// longPart is the part of answers that are too long to be kept whole by a gateway; longSize is their length in bytes.
	longPart = 40
	longSize = 3 << 19
	// leaveTime is the time after which nothing may come to an endpoint that has said that it leaves: config_apply_ms of the
	// users' sites.
	leaveTime = 2500 * time.Millisecond
)

// content is the body of each request and each short answer with an ID.
func content(id string) string {
	return strings.Repeat(id+"\n", 1+int(hash(id)%40))
}

// answerContent is the body of the answer to a request.
func answerContent(id string) string {
	if hash(id)%longPart == 0 {
		return strings.Repeat(id+"\n", longSize/(len(id)+1))
	}
	return content(id)
}

func hash(id string) uint32 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id)
	return sum.Sum32()
}

// endpoint is one endpoint with the proxy before it.
type endpoint struct {
	fake   mtfake.Endpoint
	run    *run
	number int
	listen string
	proxy  *mtproxy.Proxy
	// busy is held while the endpoint leaves or is being restarted.
	busy sync.Mutex

	mu     sync.Mutex
	server *http.Server
	mode   mtschedule.Kind
	// leftAt is when it said that it leaves, or 0.
	leftAt time.Duration
}

func (e *endpoint) name() string {
	return fmt.Sprintf("endpoint %d", e.number)
}

// open starts to listen.
func (e *endpoint) open() error {
	listener, err := net.Listen("tcp", e.listen)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           &e.fake,
		ReadHeaderTimeout: time.Minute,
	}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() {
		// Serve ends with Close.
		_ = server.Serve(listener)
	}()
	return nil
}

// close ends the endpoint as a crash would.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

func (e *endpoint) register(state string) {
	e.run.store.Put(mtname.EndpointTopic, e.fake.ID, e.fake.Entry(e.proxy.Address(), state))
}

func (e *endpoint) set(mode mtschedule.Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = mode
}

func (e *endpoint) leave(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leftAt = now
}

func (e *endpoint) state() (mode mtschedule.Kind, leftAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.leftAt
}

// handle runs one request as the endpoint's mode says.
func (e *endpoint) handle(to http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(mtname.AttemptHeader)
	now := e.run.now()
	mode, leftAt := e.state()
	instance := e.run.ledger.Arrived(id, now)
	if leftAt > 0 && now-leftAt > leaveTime && !e.run.disturbances.touched(leftAt, now, e.run.names[instance], "store", e.name()) {
		e.run.ledger.Break(now, mtpromise.Leaving, "request %s came to %s %v after it had said that it leaves", id, e.fake.ID, now-leftAt)
	}
	if mode == mtschedule.EndpointShed {
		to.Header().Set(mtname.NotExecutedHeader, "1")
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		// A request that did not come whole is not run.
		panic(http.ErrAbortHandler)
	}
	e.run.ledger.Ran(id, e.fake.ID, now)
	if request.Method == http.MethodPost && string(body) != content(id) {
		e.run.ledger.Break(now, mtpromise.Whole, "request %s came to %s with another body", id, e.fake.ID)
	}
	work := workLeast + time.Duration(hash(id))%workSpread
	if hash(id)%longWorkPart == 1 {
		work = longWork
	}
	answer := answerContent(id)
	switch mode {
	case mtschedule.EndpointHang:
		<-request.Context().Done()
		return
	case mtschedule.EndpointDropAnswers:
		panic(http.ErrAbortHandler)
	case mtschedule.EndpointCorruptAnswers:
		if hash(id)%endlessPart == 0 {
			sendEndless(to)
		}
		to.Header().Set("Content-Length", fmt.Sprint(len(answer)+1))
		_, _ = io.WriteString(to, answer)
		panic(http.ErrAbortHandler)
	case mtschedule.EndpointSlow:
		work = min(longWork, slowFactor*work)
	}
	select {
	case <-time.After(work):
	case <-request.Context().Done():
	}
	// An error here is that of a gateway that has left, which the ledger sees from the caller.
	_, _ = io.WriteString(to, answer)
}

// endlessPart is the part of the spoilt answers, as a divisor, whose head does not end.
const endlessPart = 3

// sendEndless sends header fields until the other side closes, and ends the connection.
func sendEndless(to http.ResponseWriter) {
	conn, _, err := http.NewResponseController(to).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		_, err = io.WriteString(conn, "Field: value\r\n")
	}
	panic(http.ErrAbortHandler)
}
