package mtharness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtclaimer"
	"github.com/mangotack/mangotack/internal/adapter/mtgate"
	"github.com/mangotack/mangotack/internal/adapter/mtguard"
	"github.com/mangotack/mangotack/internal/adapter/mtmeter"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/adapter/mtsender"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtonce"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	"github.com/mangotack/mangotack/internal/node/mtkeys"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/internal/node/mtstate"
	"github.com/mangotack/mangotack/internal/testkit/mtmemory"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// The names that the harness uses unless a test changes them.
const (
	Service    = "test.v1.DepositService"
	Once       = "Charge"
	Idempotent = "Balance"
	Token      = "team-token"
	OtherToken = "other-team-token"
)

// settleTime is longer than any work that a test gives to an endpoint.
const settleTime = 10 * time.Minute

// Harness is a set of entry instances before the endpoints of one service.
type Harness struct {
	Network *mtmemory.Network
	Entries map[string]*Entry
	Parted  map[string]bool
	Claims  *Stream
	// Service is the record of the service; a test may change it before it adds entry instances.
	Service   *recordv1.Service
	endpoints []*platformv1.Instance
	servers   []*http.Server
	started   uint64
}

// Entry is the call path of one entry instance.
type Entry struct {
	Name    string
	Keys    *mtkeys.Keys
	Router  *mtrouter.Router
	Pool    *mtpool.Pool
	State   *mtstate.State
	Parts   *mtadmission.Admission
	Claimer *mtclaimer.Claimer
	harness *Harness
	ticket  mtticket.Ticket
	server  *http.Server
	stop    context.CancelFunc
}

// NewHarness returns a harness without entry instances and endpoints; the test's end stops it.
func NewHarness(t testing.TB) *Harness {
	harness := &Harness{
		Network: mtmemory.NewNetwork(),
		Entries: map[string]*Entry{},
		Parted:  map[string]bool{},
		Claims:  NewStream(),
		Service: &recordv1.Service{
			Name:        Service,
			Protocol:    "http1",
			Slots:       2,
			Connections: 200,
			Idempotent:  []string{Idempotent},
			Timeout:     durationpb.New(5 * time.Second),
		},
	}
	t.Cleanup(harness.close)
	return harness
}

func (h *Harness) close() {
	for _, entry := range h.Entries {
		entry.Stop()
	}
	for _, server := range h.servers {
		_ = server.Close()
	}
	// Endpoints that still work must end before the bubble of virtual time does.
	time.Sleep(settleTime)
}

// AddEndpoint runs an endpoint; it must come before the entry instances.
func (h *Harness) AddEndpoint(name string, handler http.Handler) {
	h.Serve(name, handler)
	h.ListEndpoint(name)
}

// ListEndpoint lists an endpoint that the test runs by itself.
func (h *Harness) ListEndpoint(name string) {
	h.endpoints = append(h.endpoints, &platformv1.Instance{
		Name:    name,
		Service: Service,
		Address: name + ":80",
		Centre:  "a",
	})
}

// Serve runs an HTTP/1.1 and HTTP/2 server at the port 80 of a name.
func (h *Harness) Serve(name string, handler http.Handler) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:   handler,
		Protocols: protocols,
	}
	listener := h.Network.Listen(name + ":80")
	go func() {
		_ = server.Serve(listener)
	}()
	h.servers = append(h.servers, server)
	return server
}

// AddEntry runs an entry instance, or replaces the one of the same name by a new incarnation.
func (h *Harness) AddEntry(name string, options ...mtonce.Option) *Entry {
	if old := h.Entries[name]; old != nil {
		old.Stop()
	}
	h.started++
	now := time.Now()
	entry := &Entry{
		Name:    name,
		Keys:    mtkeys.NewKeys(name, h.started, now, options...),
		Router:  mtrouter.NewRouter(name, "a"),
		Pool:    mtpool.NewPool(h.Network.Dial),
		State:   mtstate.NewState(),
		Parts:   mtadmission.NewAdmission(),
		Claimer: mtclaimer.NewClaimer(h.Claims, name, h.started, 1000),
		harness: h,
	}
	entry.ticket = mtticket.Ticket{
		Instance:    name,
		Incarnation: h.started,
		Expiry:      entry.Keys.Expiry(now),
	}
	h.Entries[name] = entry
	entry.start(now)
	return entry
}

func (e *Entry) start(now time.Time) {
	e.State.Merge(&recordv1.Snapshot{
		Versions: e.harness.versions(),
	})
	e.State.Refresh(now)
	e.Refresh(now)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gate := mtgate.NewGate(e.State, e.Parts, mtguard.NewGuard(e.Keys, e, e.Claimer), mtsender.NewSender(e.Router, e.Pool), mtmeter.NewMeter(), logger,
		mtgate.WithStale(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.tick(ctx)
	go e.Claimer.Run(ctx)
	e.server = e.harness.Serve(e.Name, gate)
}

// Refresh hands the list of endpoints to the router.
func (e *Entry) Refresh(now time.Time) {
	e.Router.Update(mtrouter.Update{
		Service:   e.harness.Service,
		Endpoints: e.harness.endpoints,
		Leaving:   e.State.Rules().IsLeaving,
		Crew: []mtcrew.Place{{
			Name:   e.Name,
			Centre: "a",
		}},
	}, now)
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.Router.Tick(now)
			e.Pool.Sweep(now)
			e.Claimer.Flush(ctx)
		}
	}
}

// Mark marks an endpoint as leaving.
func (e *Entry) Mark(endpoint string) {
	e.State.Merge(&recordv1.Snapshot{
		Versions: []*recordv1.Version{{
			Number: 1,
			Record: &recordv1.Record{
				Id: "mark-" + endpoint,
				Body: &recordv1.Record_Mark{
					Mark: &recordv1.Mark{
						Instance: endpoint,
						Leaving:  true,
					},
				},
			},
		}},
	})
	e.Refresh(time.Now())
}

// Stop ends the entry instance at once.
func (e *Entry) Stop() {
	e.stop()
	_ = e.server.Close()
}

// Key returns a key whose home is this incarnation.
func (e *Entry) Key(suffix string) string {
	return e.ticket.String() + "-" + suffix
}

// Settle asks the home of a ticket, unless it is parted from this instance.
func (e *Entry) Settle(ctx context.Context, ticket mtticket.Ticket, team, key string) (mtoutcome.Outcome, error) {
	home := e.harness.Entries[ticket.Instance]
	if e.harness.Parted[ticket.Instance] {
		<-ctx.Done()
		return mtoutcome.Unknown, ctx.Err()
	}
	if home == nil || !home.Keys.IsHome(ticket) {
		return mtoutcome.Unknown, errors.New("the home is gone")
	}
	outcome, _ := home.Keys.Settle(team, key, ticket, time.Now())
	return outcome, nil
}

// Recall asks the holder of a claim, unless it is parted from this instance.
func (e *Entry) Recall(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error) {
	home := e.harness.Entries[claim.GetInstance()]
	if e.harness.Parted[claim.GetInstance()] {
		<-ctx.Done()
		return mtoutcome.Unknown, ctx.Err()
	}
	return home.Keys.Lookup(claim.GetTeam(), claim.GetKey(), claim.GetIncarnation()), nil
}

func (h *Harness) versions() []*recordv1.Version {
	contract := &recordv1.Contract{Customer: "acme"}
	var approvals []*recordv1.Approval
	for name, token := range map[string]string{"hosts": Token, "cooks": OtherToken} {
		contract.Teams = append(contract.Teams, &recordv1.Team{
			Name:     name,
			Tokens:   []string{mtrules.HashToken(token)},
			Services: []string{Service},
		})
		approvals = append(approvals, &recordv1.Approval{
			Service:  Service,
			Customer: "acme",
			Team:     name,
		})
	}
	records := []*recordv1.Record{
		{Body: &recordv1.Record_Service{Service: h.Service}},
		{Body: &recordv1.Record_Contract{Contract: contract}},
	}
	for _, approval := range approvals {
		records = append(records, &recordv1.Record{Body: &recordv1.Record_Approval{Approval: approval}})
	}
	var versions []*recordv1.Version
	for i, record := range records {
		record.Id = fmt.Sprint("record-", i)
		versions = append(versions, &recordv1.Version{
			Number: 1,
			Record: record,
		})
	}
	return versions
}

// Result is what a caller was told.
type Result struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    string
	// Err is the error of the exchange, such as a body that broke off.
	Err error
}

// Outcome returns the outcome that the header states, or answered for an endpoint's answer.
func (r Result) Outcome() mtoutcome.Outcome {
	if text := r.Header.Get(mtoutcome.Header); text != "" {
		return mtoutcome.Outcome(text)
	}
	return mtoutcome.Answered
}

// Call sends a call to an entry instance by HTTP/1.1 on a connection of its own.
func (h *Harness) Call(ctx context.Context, entry, method, body string, headers ...string) Result {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return h.CallWith(ctx, protocols, entry, method, body, headers...)
}

// CallWith sends a call to an entry instance by a protocol on a connection of its own.
func (h *Harness) CallWith(ctx context.Context, protocols *http.Protocols, entry, method, body string, headers ...string) Result {
	transport := &http.Transport{
		DialContext: h.Network.Dial,
		Protocols:   protocols,
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+":80/"+Service+"/"+method, strings.NewReader(body))
	if err != nil {
		return Result{Err: err}
	}
	mtauth.SetBearer(request.Header, Token)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Result{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: response.Trailer,
		Body:    string(text),
		Err:     err,
	}
}

// Keyed returns the header of a key.
func Keyed(key string) []string {
	return []string{mtcall.KeyHeader, key}
}
