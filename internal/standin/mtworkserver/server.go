// A call takes a slot, works for a random time around the mean and answers with the text that it was sent. The service
// time is exponential, capped at four times its mean; slots are taken away and given back every 20 to 200 ms, as the
// load of real servers shifts. Delays of the network come on top: a hop each way for a caller of another data centre,
// which its IP number tells, and the cost of a new connection on its first call.

package mtworkserver

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtload"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
)

const (
	// WorkHeader states the time that a call spent at the endpoint, in microseconds.
	WorkHeader = "Standin-Work-Us"
	// NonceHeader is sent back in the body of the answer.
	NonceHeader = "Standin-Nonce"

	// probePath answers with the load report only, after the delay of a probe.
	probePath = "/load"

	coldFactor   = 5
	coldTime     = 2 * time.Second
	leaveGrace   = 3 * time.Second
	shiftLeast   = 20 * time.Millisecond
	shiftSpread  = 180 * time.Millisecond
	workCapacity = 4
)

// Server is one endpoint.
type Server struct {
	name  string
	pool  *settingsv1.Pool
	delay *settingsv1.Standin
	mu    sync.Mutex
	free  *sync.Cond

	slots    int
	running  int
	waiting  int
	fault    *standinv1.SetEndpointRequest
	coldTill time.Time
	leaving  time.Time
	silence  chan struct{}
	runs     uint64
	most     uint32
	late     uint64
	keys     map[string]uint32
	nonces   map[string]bool
}

// NewServer returns an endpoint of a pool; the settings give the delays of the network.
func NewServer(name string, pool *settingsv1.Pool, delay *settingsv1.Standin) *Server {
	server := &Server{
		name:    name,
		pool:    pool,
		delay:   delay,
		slots:   int(pool.GetSlots()),
		fault:   &standinv1.SetEndpointRequest{},
		silence: make(chan struct{}),
		keys:    map[string]uint32{},
		nonces:  map[string]bool{},
	}
	server.free = sync.NewCond(&server.mu)
	return server
}

// Shift takes slots away and gives them back until the context ends.
func (s *Server) Shift(ctx context.Context) {
	if s.pool.GetSteady() {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(shiftLeast + rand.N(shiftSpread)):
		}
		s.mu.Lock()
		s.slots = 1 + rand.IntN(int(s.pool.GetSlots()))
		if rand.IntN(2) == 0 {
			s.slots = int(s.pool.GetSlots())
		}
		s.free.Broadcast()
		s.mu.Unlock()
	}
}

// Set replaces the faults of the endpoint.
func (s *Server) Set(fault *standinv1.SetEndpointRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.GetCold() {
		s.coldTill = now.Add(coldTime)
	}
	if fault.GetLeaving() && s.leaving.IsZero() {
		s.leaving = now
	}
	if fault.GetSilent() {
		close(s.silence)
		s.silence = make(chan struct{})
	}
	s.fault = fault
}

// Report adds what the endpoint has seen to a report, and counts which of the nonces it ran.
func (s *Server) Report(report *standinv1.ReportResponse, nonces []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nonce := range nonces {
		if s.nonces[nonce] {
			report.Ran++
		}
	}
	report.Runs += s.runs
	report.Late += s.late
	for _, count := range s.keys {
		report.Repeated = max(report.Repeated, count)
	}
	report.Endpoints = append(report.Endpoints, &standinv1.EndpointRuns{
		Name:     s.name,
		Runs:     s.runs,
		Inflight: s.most,
	})
}

type silenceKey struct{}

type firstKey struct{}

// ConnContext marks a connection with what its calls need to know.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx = context.WithValue(ctx, silenceKey{}, s.silence)
	return context.WithValue(ctx, firstKey{}, &sync.Once{})
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	s.network(request)
	if request.URL.Path == probePath {
		s.probe(to)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if s.isSilent(request) {
		<-request.Context().Done()
		return
	}
	started := time.Now()
	if s.refuse(to, request) {
		return
	}
	if !s.work(request, started) {
		return
	}
	header := to.Header()
	header.Set(WorkHeader, strconv.FormatInt(time.Since(started).Microseconds(), 10))
	header.Set(mtload.Header, s.load().String())
	header.Set("Content-Type", "application/json")
	answer := s.answer(request, body)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	s.hop(request)
	_, _ = to.Write(answer)
}

// probe answers with the load and runs nothing.
func (s *Server) probe(to http.ResponseWriter) {
	time.Sleep(s.delay.GetProbe().AsDuration())
	to.Header().Set(mtload.Header, s.load().String())
}

func (s *Server) answer(request *http.Request, body []byte) []byte {
	answer := append([]byte(request.Header.Get(NonceHeader)+"\n"), body...)
	if missing := int(s.pool.GetBytes()) - len(answer); missing > 0 {
		answer = append(answer, bytes.Repeat([]byte{'.'}, missing)...)
	}
	return answer
}

func (s *Server) isSilent(request *http.Request) bool {
	silence, _ := request.Context().Value(silenceKey{}).(chan struct{})
	select {
	case <-silence:
		return true
	default:
		return false
	}
}

// network spends the time of a new connection and of the way here.
func (s *Server) network(request *http.Request) {
	if first, ok := request.Context().Value(firstKey{}).(*sync.Once); ok {
		first.Do(func() {
			time.Sleep(s.delay.GetConnect().AsDuration())
		})
	}
	s.hop(request)
}

// hop spends the time between two data centres; the third number of an address tells the data centre.
func (s *Server) hop(request *http.Request) {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if local != nil && centreOf(local.String()) != centreOf(request.RemoteAddr) {
		time.Sleep(s.delay.GetHop().AsDuration())
	}
}

func centreOf(address string) byte {
	host, _, _ := net.SplitHostPort(address)
	if ip := net.ParseIP(host).To4(); ip != nil {
		return ip[2]
	}
	return 0
}

// refuse answers for an endpoint that fails or sheds.
func (s *Server) refuse(to http.ResponseWriter, request *http.Request) bool {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault.GetFail():
		http.Error(to, "the endpoint fails", http.StatusServiceUnavailable)
	case fault.GetShed():
		to.Header().Set(mtcall.RefusedHeader, request.Header.Get(mtcall.AttemptHeader))
		http.Error(to, "the endpoint sheds load", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// work takes a slot and runs the call; it reports false when the caller left before it ran.
func (s *Server) work(request *http.Request, now time.Time) bool {
	s.mu.Lock()
	s.waiting++
	s.most = max(s.most, uint32(s.waiting+s.running))
	for s.running >= s.slots {
		s.free.Wait()
	}
	s.waiting--
	if request.Context().Err() != nil {
		s.mu.Unlock()
		return false
	}
	s.running++
	s.count(request, now)
	spend := s.serviceTime(now)
	s.mu.Unlock()
	time.Sleep(spend)
	s.mu.Lock()
	s.running--
	s.free.Signal()
	s.mu.Unlock()
	return true
}

// count records the run; the mutex is held.
func (s *Server) count(request *http.Request, now time.Time) {
	s.runs++
	s.nonces[request.Header.Get(NonceHeader)] = true
	if key := request.Header.Get(mtcall.KeyHeader); key != "" {
		s.keys[key]++
	}
	if !s.leaving.IsZero() && now.Sub(s.leaving) > leaveGrace {
		s.late++
	}
}

func (s *Server) serviceTime(now time.Time) time.Duration {
	mean := float64(s.pool.GetWork().AsDuration())
	if s.fault.GetSlower() > 0 {
		mean *= s.fault.GetSlower()
	}
	if now.Before(s.coldTill) {
		mean *= coldFactor
	}
	return time.Duration(min(rand.ExpFloat64(), workCapacity) * mean)
}

func (s *Server) load() mtload.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mtload.Report{
		Running: float64(s.running),
		Queued:  float64(s.waiting),
		Slots:   float64(s.slots),
	}
}
