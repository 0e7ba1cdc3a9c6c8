// A call occupies a slot for its service time and is answered with its nonce and its request body. The service time is
// exponential, capped at four times its mean. The number of slots changes every 20 to 200 ms, as the load of real
// servers does. Network delays are added: a hop each way if the caller's IP address belongs to another data centre, and
// the connection set-up time on the first call of a connection.

package mtfakeendpoint

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
	// WorkHeader carries the time from the receipt of a call to its response, queueing included, in microseconds.
	WorkHeader = "Standin-Work-Us"
	// NonceHeader carries the nonce of a call, which the endpoint returns in the first line of the response body.
	NonceHeader = "Standin-Nonce"

	// probePath serves the load report without a call, after the delay of a probe.
	probePath = "/load"

	// A cold endpoint multiplies its mean service time by coldFactor for coldDuration.
	coldFactor   = 5
	coldDuration = 2 * time.Second
	// leavingGrace is how long after its leaving mark an endpoint may still receive new calls.
	leavingGrace = 3 * time.Second
	// The number of slots changes at random intervals, from minSlotInterval to less than minSlotInterval plus
	// slotIntervalSpread.
	minSlotInterval    = 20 * time.Millisecond
	slotIntervalSpread = 180 * time.Millisecond
	// maxServiceTimeFactor caps the service time as a multiple of its mean.
	maxServiceTimeFactor = 4
)

// Server is one endpoint.
type Server struct {
	name string
	pool *settingsv1.Pool
	// settings hold the delays of the network.
	settings *settingsv1.Standin
	mu       sync.Mutex
	// slotFreed wakes calls that wait for a slot.
	slotFreed *sync.Cond

	slots     int
	running   int
	waiting   int
	faults    *standinv1.SetEndpointRequest
	coldUntil time.Time
	// leavingSince is zero while the endpoint has no leaving mark.
	leavingSince time.Time
	// silenced is closed when the open connections go silent; connections opened later get a new channel.
	silenced chan struct{}
	runs     uint64
	// maxInFlight is the largest number of calls that ran or waited at the same time.
	maxInFlight uint32
	// lateRuns counts the runs of calls that arrived more than leavingGrace after the leaving mark.
	lateRuns  uint64
	runsByKey map[string]uint32
	ranNonces map[string]bool
}

// NewServer returns an endpoint of a pool. The settings hold the delays of the network.
func NewServer(name string, pool *settingsv1.Pool, settings *settingsv1.Standin) *Server {
	server := &Server{
		name:      name,
		pool:      pool,
		settings:  settings,
		slots:     int(pool.GetSlots()),
		faults:    &standinv1.SetEndpointRequest{},
		silenced:  make(chan struct{}),
		runsByKey: map[string]uint32{},
		ranNonces: map[string]bool{},
	}
	server.slotFreed = sync.NewCond(&server.mu)
	return server
}

// VarySlots changes the number of slots at random intervals until the context ends, unless the pool is steady. With a
// probability of one half, a change makes all slots available.
func (s *Server) VarySlots(ctx context.Context) {
	if s.pool.GetSteady() {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(minSlotInterval + rand.N(slotIntervalSpread)):
		}
		s.mu.Lock()
		s.slots = 1 + rand.IntN(int(s.pool.GetSlots()))
		if rand.IntN(2) == 0 {
			s.slots = int(s.pool.GetSlots())
		}
		s.slotFreed.Broadcast()
		s.mu.Unlock()
	}
}

// SetFaults replaces the faults of the endpoint. A leaving mark stays once it is set, and its grace period counts from
// the first request that set it.
func (s *Server) SetFaults(faults *standinv1.SetEndpointRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.GetCold() {
		s.coldUntil = now.Add(coldDuration)
	}
	if faults.GetLeaving() && s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	if faults.GetSilent() {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
	s.faults = faults
}

// Report adds the counters of the endpoint to a report, and the number of the given nonces whose calls it ran.
func (s *Server) Report(report *standinv1.ReportResponse, nonces []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nonce := range nonces {
		if s.ranNonces[nonce] {
			report.Ran++
		}
	}
	report.Runs += s.runs
	report.Late += s.lateRuns
	for _, count := range s.runsByKey {
		report.Repeated = max(report.Repeated, count)
	}
	report.Endpoints = append(report.Endpoints, &standinv1.EndpointRuns{
		Name:     s.name,
		Runs:     s.runs,
		Inflight: s.maxInFlight,
	})
}

// silencedKey is the context key of the channel that is closed when the connection goes silent.
type silencedKey struct{}

// connectOnceKey is the context key of the sync.Once that applies the connection set-up time.
type connectOnceKey struct{}

// ConnContext adds the state of a connection to its context: whether it is silent, and whether its set-up time was
// applied.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx = context.WithValue(ctx, silencedKey{}, s.silenced)
	return context.WithValue(ctx, connectOnceKey{}, &sync.Once{})
}

// ServeHTTP runs one call, or answers a probe of the load.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.delayRequest(request)
	if request.URL.Path == probePath {
		s.serveProbe(writer)
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
	arrived := time.Now()
	if s.injectFailure(writer, request) {
		return
	}
	if !s.run(request, arrived) {
		return
	}
	header := writer.Header()
	header.Set(WorkHeader, strconv.FormatInt(time.Since(arrived).Microseconds(), 10))
	header.Set(mtload.Header, s.loadReport().String())
	header.Set("Content-Type", "application/json")
	response := s.responseBody(request, body)
	header.Set("Content-Length", strconv.Itoa(len(response)))
	s.delayHop(request)
	_, _ = writer.Write(response)
}

// serveProbe answers with the load report and runs no call.
func (s *Server) serveProbe(writer http.ResponseWriter) {
	time.Sleep(s.settings.GetProbe().AsDuration())
	writer.Header().Set(mtload.Header, s.loadReport().String())
}

// responseBody returns the nonce and the request body, padded to the size that the pool sets.
func (s *Server) responseBody(request *http.Request, body []byte) []byte {
	response := append([]byte(request.Header.Get(NonceHeader)+"\n"), body...)
	if padding := int(s.pool.GetBytes()) - len(response); padding > 0 {
		response = append(response, bytes.Repeat([]byte{'.'}, padding)...)
	}
	return response
}

func (s *Server) isSilent(request *http.Request) bool {
	silenced, _ := request.Context().Value(silencedKey{}).(chan struct{})
	select {
	case <-silenced:
		return true
	default:
		return false
	}
}

// delayRequest waits for the set-up time of a new connection and for the hop to the endpoint.
func (s *Server) delayRequest(request *http.Request) {
	if connectOnce, ok := request.Context().Value(connectOnceKey{}).(*sync.Once); ok {
		connectOnce.Do(func() {
			time.Sleep(s.settings.GetConnect().AsDuration())
		})
	}
	s.delayHop(request)
}

// delayHop waits for the one-way delay between data centres if the caller is in another one.
func (s *Server) delayHop(request *http.Request) {
	local, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if local != nil && centreOf(local.String()) != centreOf(request.RemoteAddr) {
		time.Sleep(s.settings.GetHop().AsDuration())
	}
}

// centreOf returns the data centre of an address, which is the third number of the IPv4 address, or 0 if it has none.
func centreOf(address string) byte {
	host, _, _ := net.SplitHostPort(address)
	if ip := net.ParseIP(host).To4(); ip != nil {
		return ip[2]
	}
	return 0
}

// injectFailure answers the call and reports true if the endpoint is set to fail or to shed load.
func (s *Server) injectFailure(writer http.ResponseWriter, request *http.Request) bool {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.GetFail():
		http.Error(writer, "the endpoint fails", http.StatusServiceUnavailable)
	case faults.GetShed():
		writer.Header().Set(mtcall.RefusedAttemptHeader, request.Header.Get(mtcall.AttemptIDHeader))
		http.Error(writer, "the endpoint sheds load", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// run waits for a slot and runs the call. It reports false if the caller went away before the call ran.
func (s *Server) run(request *http.Request, arrived time.Time) bool {
	s.mu.Lock()
	s.waiting++
	s.maxInFlight = max(s.maxInFlight, uint32(s.waiting+s.running))
	for s.running >= s.slots {
		s.slotFreed.Wait()
	}
	s.waiting--
	if request.Context().Err() != nil {
		s.mu.Unlock()
		return false
	}
	s.running++
	s.countRun(request, arrived)
	serviceTime := s.serviceTime(arrived)
	s.mu.Unlock()
	time.Sleep(serviceTime)
	s.mu.Lock()
	s.running--
	s.slotFreed.Signal()
	s.mu.Unlock()
	return true
}

// countRun counts a run; the caller holds the mutex.
func (s *Server) countRun(request *http.Request, arrived time.Time) {
	s.runs++
	s.ranNonces[request.Header.Get(NonceHeader)] = true
	if key := request.Header.Get(mtcall.IdempotencyKeyHeader); key != "" {
		s.runsByKey[key]++
	}
	if !s.leavingSince.IsZero() && arrived.Sub(s.leavingSince) > leavingGrace {
		s.lateRuns++
	}
}

// serviceTime draws the service time of a call; the caller holds the mutex.
func (s *Server) serviceTime(arrived time.Time) time.Duration {
	mean := float64(s.pool.GetWork().AsDuration())
	if s.faults.GetSlower() > 0 {
		mean *= s.faults.GetSlower()
	}
	if arrived.Before(s.coldUntil) {
		mean *= coldFactor
	}
	return time.Duration(min(rand.ExpFloat64(), maxServiceTimeFactor) * mean)
}

func (s *Server) loadReport() mtload.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return mtload.Report{
		Running: float64(s.running),
		Queued:  float64(s.waiting),
		Slots:   float64(s.slots),
	}
}
