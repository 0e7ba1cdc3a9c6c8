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

	"github.com/mangotack/mangotack/internal/soak/mtfaultproxy"
	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/internal/soak/mtschedule"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// endpointSlots is the number of requests that an endpoint runs at once.
	endpointSlots = 4
	// minWorkTime and workTimeSpread bound the time of one request; the hash of its ID sets the time.
	minWorkTime    = 4 * time.Millisecond
	workTimeSpread = 20 * time.Millisecond
	// One request in longWorkDivisor takes longWorkTime, so that instances stop while such requests are in flight.
	longWorkDivisor = 25
	longWorkTime    = 1800 * time.Millisecond
	// slowFactor multiplies the time of a request at a slow endpoint, up to longWorkTime.
	slowFactor = 15
	// One answer in longAnswerDivisor has about longAnswerBytes and is too long for a gateway to buffer whole.
	longAnswerDivisor = 40
	longAnswerBytes   = 3 << 19
	// drainApplyTimeout is the time after which an endpoint that is registered as draining must get no requests:
	// config_apply_ms of the users' sites.
	drainApplyTimeout = 2500 * time.Millisecond
)

// requestBody is the body of a request that has one, and of each short answer, by the ID of the request.
func requestBody(id string) string {
	return strings.Repeat(id+"\n", 1+int(hashID(id)%40))
}

// answerBody is the body of the answer to a request.
func answerBody(id string) string {
	if hashID(id)%longAnswerDivisor == 0 {
		return strings.Repeat(id+"\n", longAnswerBytes/(len(id)+1))
	}
	return requestBody(id)
}

func hashID(id string) uint32 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, id)
	return sum.Sum32()
}

// endpoint is one endpoint with the proxy that instances reach it through.
type endpoint struct {
	fake          mtfake.Endpoint
	run           *run
	index         int
	listenAddress string
	proxy         *mtfaultproxy.Proxy
	limit         requestLimit
	cold          coldArrivals
	// lifecycleMu is locked while the endpoint drains or restarts.
	lifecycleMu sync.Mutex

	mu     sync.Mutex
	server *http.Server
	// fault is the kind of the current fault, or empty.
	fault mtschedule.Kind
	// state is the registered state.
	state string
	// drainingSince is when the endpoint was registered as draining, or 0.
	drainingSince time.Duration
}

func (e *endpoint) name() string {
	return fmt.Sprintf("endpoint %d", e.index)
}

// start starts the server.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp", e.listenAddress)
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

// stop closes the listener and all connections at once, as a crash does.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// register writes a record with a state to the store.
func (e *endpoint) register(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
	e.writeRecord()
}

// registerNewProcess writes the first record of the next process.
func (e *endpoint) registerNewProcess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fake.Born++
	e.fake.Seq = 0
	e.state = "ready"
	e.writeRecord()
}

// reregister writes the present state again.
func (e *endpoint) reregister() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeRecord()
}

// writeRecord writes the next record to the store; the caller holds mu.
func (e *endpoint) writeRecord() {
	e.fake.Seq++
	e.run.store.Put(mtname.EndpointTopic, e.fake.ID, e.fake.StoreRecord(e.proxy.Address(), e.state))
}

func (e *endpoint) setFault(fault mtschedule.Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

func (e *endpoint) setDraining(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drainingSince = now
}

func (e *endpoint) currentState() (fault mtschedule.Kind, drainingSince time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault, e.drainingSince
}

// handleRequest runs one request under the endpoint's current fault.
func (e *endpoint) handleRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(mtname.AttemptIDHeader)
	now := e.run.now()
	fault, drainingSince := e.currentState()
	instance := e.run.checker.RequestArrived(id, now)
	if drainingSince > 0 && now-drainingSince > drainApplyTimeout &&
		!e.run.faults.overlaps(drainingSince, now, e.run.instanceNames[instance], "store", e.name()) {
		e.run.checker.Report(now, mtinvariant.DrainedIdle,
			"request %s arrived at %s %v after it was registered as draining", id, e.fake.ID, now-drainingSince)
	}
	e.checkLimit(id, instance, now)
	e.checkEvacuation(id, instance, now)
	e.checkColdRate(id, now)
	defer func() { e.limit.recordAnswer(instance, e.run.now()) }()
	if fault == mtschedule.EndpointShed {
		writer.Header().Set(mtname.NotExecutedHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		// An incomplete request is not run.
		panic(http.ErrAbortHandler)
	}
	e.run.checker.RequestRan(id, e.fake.ID, now)
	if request.Header.Get(mtname.TenantHeader) == hotTenantName {
		e.run.checkQuota(id, now)
	}
	if request.Method == http.MethodPost && string(body) != requestBody(id) {
		e.run.checker.Report(now, mtinvariant.Unaltered, "request %s arrived at %s with an altered body", id, e.fake.ID)
	}
	workTime := minWorkTime + time.Duration(hashID(id))%workTimeSpread
	if hashID(id)%longWorkDivisor == 1 {
		workTime = longWorkTime
	}
	answer := answerBody(id)
	switch fault {
	case mtschedule.EndpointHang:
		<-request.Context().Done()
		return
	case mtschedule.EndpointDropAnswers:
		panic(http.ErrAbortHandler)
	case mtschedule.EndpointCorruptAnswers:
		switch kind := int(hashID(id) / longAnswerDivisor % corruptAnswerKinds); {
		case kind == 0:
			sendEndlessHeader(writer)
		case kind <= len(invalidHeads):
			sendRaw(writer, invalidHeads[kind-1], id, answer, false)
		case kind == len(invalidHeads)+1:
			sendRaw(writer, "HTTP/1.1 200 OK\r\n", id, answer[:len(answer)/2], true)
		}
		writer.Header().Set("Content-Length", fmt.Sprint(len(answer)+1))
		_, _ = io.WriteString(writer, answer)
		panic(http.ErrAbortHandler)
	case mtschedule.EndpointSlow:
		workTime = min(longWorkTime, slowFactor*workTime)
	}
	select {
	case <-time.After(workTime):
	case <-request.Context().Done():
	}
	// A write error means that the gateway has closed the connection; the caller's result shows the effect.
	_, _ = io.WriteString(writer, answer)
}

// corruptAnswerKinds is the number of kinds of corrupt answers: a header that does not end, each of invalidHeads, a body
// without a length whose connection is reset, and, twice as often, a body that ends early.
const corruptAnswerKinds = 10

// invalidHeads are starts of heads that HTTP/1.1 does not allow; net/http accepts most of them.
var invalidHeads = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\nField: a\r\n b\r\nContent-Length: 2\r\n",
}

// sendRaw sends a head and a body as they are, closes or resets the connection, and aborts the handler.
func sendRaw(writer http.ResponseWriter, head, id, body string, isReset bool) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, head+mtname.AttemptIDHeader+": "+id+"\r\n\r\n"+body)
	if tcp, ok := conn.(*net.TCPConn); ok && isReset {
		_ = tcp.SetLinger(0)
	}
	panic(http.ErrAbortHandler)
}

// sendEndlessHeader sends header fields until the other side closes the connection, and aborts the handler.
func sendEndlessHeader(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
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
