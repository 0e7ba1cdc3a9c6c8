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
	"github.com/mangotack/mangotack/internal/adapter/mtmetrics"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/adapter/mtsender"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	"github.com/mangotack/mangotack/internal/node/mtkeytable"
	"github.com/mangotack/mangotack/internal/node/mtreplica"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/internal/testkit/mtmemorynetwork"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// The service, its methods and the tokens of its two approved teams.
const (
	ServiceName      = "test.v1.DepositService"
	OnceMethod       = "Charge"
	IdempotentMethod = "Balance"
	TeamToken        = "team-token"
	OtherTeamToken   = "other-team-token"
)

// endpointDrainTime exceeds the longest time that the handler of an endpoint takes in any test.
const endpointDrainTime = 10 * time.Minute

// Harness is a set of entry instances in front of the endpoints of one service, on an in-memory network.
type Harness struct {
	Network *mtmemorynetwork.Network
	// EntryInstances are the entry instances by name.
	EntryInstances map[string]*EntryInstance
	// PartitionedInstances are the names of the entry instances that the others can't reach. Requests to them wait until their
	// deadline.
	PartitionedInstances map[string]bool
	// ClaimStream is the stream of the log to which the entry instances append their claims of keys.
	ClaimStream *LogStream
	// Service is the record of the service. A test may change it before it adds entry instances.
	Service   *recordv1.Service
	endpoints []*platformv1.Instance
	servers   []*http.Server
	// lastIncarnation is the incarnation of the entry instance that was added last.
	lastIncarnation uint64
}

// EntryInstance is the call path of one entry instance.
type EntryInstance struct {
	Name      string
	Keys      *mtkeytable.Table
	Router    *mtrouter.Router
	Pool      *mtpool.Pool
	State     *mtreplica.Replica
	Admission *mtadmission.Controller
	Claimer   *mtclaimer.Claimer
	harness   *Harness
	ticket    mtticket.Ticket
	server    *http.Server
	cancel    context.CancelFunc
}

// NewHarness returns a harness without entry instances and endpoints. It stops when the test ends.
func NewHarness(t testing.TB) *Harness {
	harness := &Harness{
		Network:              mtmemorynetwork.NewNetwork(),
		EntryInstances:       map[string]*EntryInstance{},
		PartitionedInstances: map[string]bool{},
		ClaimStream:          NewLogStream(),
		Service: &recordv1.Service{
			Name:        ServiceName,
			Protocol:    "http1",
			Slots:       2,
			Connections: 200,
			Idempotent:  []string{IdempotentMethod},
			Timeout:     durationpb.New(5 * time.Second),
		},
	}
	t.Cleanup(harness.close)
	return harness
}

func (h *Harness) close() {
	for _, entry := range h.EntryInstances {
		entry.Stop()
	}
	for _, server := range h.servers {
		_ = server.Close()
	}
	// The handlers of the endpoints must return before the synctest bubble ends.
	time.Sleep(endpointDrainTime)
}

// AddEndpoint starts an endpoint and adds it to the instance list. Call it before AddEntryInstance, which passes the list to
// the router.
func (h *Harness) AddEndpoint(name string, handler http.Handler) {
	h.StartServer(name, handler)
	h.RegisterEndpoint(name)
}

// RegisterEndpoint adds an endpoint to the instance list without starting it; the test serves its address itself.
func (h *Harness) RegisterEndpoint(name string) {
	h.endpoints = append(h.endpoints, &platformv1.Instance{
		Name:    name,
		Service: ServiceName,
		Address: name + ":80",
		Centre:  "a",
	})
}

// StartServer starts a server for HTTP/1.1 and unencrypted HTTP/2 at port 80 of a host name.
func (h *Harness) StartServer(name string, handler http.Handler) *http.Server {
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

// AddEntryInstance starts an entry instance. An instance of the same name is stopped and replaced by a new incarnation.
func (h *Harness) AddEntryInstance(name string, options ...mtdedup.Option) *EntryInstance {
	if previous := h.EntryInstances[name]; previous != nil {
		previous.Stop()
	}
	h.lastIncarnation++
	now := time.Now()
	entry := &EntryInstance{
		Name:      name,
		Keys:      mtkeytable.NewTable(name, h.lastIncarnation, now, options...),
		Router:    mtrouter.NewRouter(name, "a"),
		Pool:      mtpool.NewPool(h.Network.Dial),
		State:     mtreplica.NewReplica(),
		Admission: mtadmission.NewController(),
		Claimer:   mtclaimer.NewClaimer(h.ClaimStream, name, h.lastIncarnation, 1000),
		harness:   h,
	}
	entry.ticket = mtticket.Ticket{
		Instance:    name,
		Incarnation: h.lastIncarnation,
		Expiry:      entry.Keys.TicketExpiry(now),
	}
	h.EntryInstances[name] = entry
	entry.start(now)
	return entry
}

func (e *EntryInstance) start(now time.Time) {
	e.State.Merge(&recordv1.Snapshot{
		Versions: e.harness.versions(),
	})
	e.State.ConfirmCurrent(now)
	e.UpdateRouter(now)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	gate := mtgate.NewHandler(e.State, e.Admission, mtguard.NewGuard(e.Keys, e, e.Claimer),
		mtsender.NewSender(e.Router, e.Pool), mtmetrics.NewMeter(), logger, mtgate.WithStale(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.runTicker(ctx)
	go e.Claimer.Run(ctx)
	e.server = e.harness.StartServer(e.Name, gate)
}

// UpdateRouter passes the instance list and the leaving marks to the router.
func (e *EntryInstance) UpdateRouter(now time.Time) {
	e.Router.UpdateService(mtrouter.ServiceUpdate{
		Service:   e.harness.Service,
		Endpoints: e.harness.endpoints,
		IsLeaving: e.State.Rules().IsLeaving,
		AssignedInstances: []mtrendezvous.Node{{
			Name:   e.Name,
			Centre: "a",
		}},
	}, now)
}

func (e *EntryInstance) runTicker(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.Router.Tick(now)
			e.Pool.CloseIdle(now)
			e.Claimer.Flush(ctx)
		}
	}
}

// MarkLeaving merges a record that marks an endpoint as leaving, and updates the router.
func (e *EntryInstance) MarkLeaving(endpoint string) {
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
	e.UpdateRouter(time.Now())
}

// Stop ends the entry instance at once and closes its connections.
func (e *EntryInstance) Stop() {
	e.cancel()
	_ = e.server.Close()
}

// NewKey returns an idempotency key with the ticket of this incarnation, which makes it the home of the key.
func (e *EntryInstance) NewKey(suffix string) string {
	return e.ticket.String() + "-" + suffix
}

// TicketKeyOutcome asks the home of a ticket to settle the outcome of a key. It blocks until the context ends if the home is
// partitioned, and fails if no instance has the ticket's incarnation.
func (e *EntryInstance) TicketKeyOutcome(
	ctx context.Context, ticket mtticket.Ticket, team, key string,
) (mtoutcome.Outcome, error) {
	home := e.harness.EntryInstances[ticket.Instance]
	if e.harness.PartitionedInstances[ticket.Instance] {
		<-ctx.Done()
		return mtoutcome.Unknown, ctx.Err()
	}
	if home == nil || !home.Keys.Owns(ticket) {
		return mtoutcome.Unknown, errors.New("no instance has the incarnation of the ticket")
	}
	outcome, _ := home.Keys.OutcomeOrClose(team, key, ticket, time.Now())
	return outcome, nil
}

// ClaimedKeyOutcome asks the instance that made a claim for the outcome of the key. It blocks until the context ends if that
// instance is partitioned.
func (e *EntryInstance) ClaimedKeyOutcome(ctx context.Context, claim *peerv1.Claim) (mtoutcome.Outcome, error) {
	claimant := e.harness.EntryInstances[claim.GetInstance()]
	if e.harness.PartitionedInstances[claim.GetInstance()] {
		<-ctx.Done()
		return mtoutcome.Unknown, ctx.Err()
	}
	return claimant.Keys.Lookup(claim.GetTeam(), claim.GetKey(), claim.GetIncarnation()), nil
}

// versions returns the records of the service and of a contract with two approved teams.
func (h *Harness) versions() []*recordv1.Version {
	contract := &recordv1.Contract{Customer: "acme"}
	var approvals []*recordv1.Approval
	for name, token := range map[string]string{"hosts": TeamToken, "cooks": OtherTeamToken} {
		contract.Teams = append(contract.Teams, &recordv1.Team{
			Name:     name,
			Tokens:   []string{mtrules.HashToken(token)},
			Services: []string{ServiceName},
		})
		approvals = append(approvals, &recordv1.Approval{
			Service:  ServiceName,
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

// CallResult is the response to a call, or the error of the exchange.
type CallResult struct {
	Status  int
	Header  http.Header
	Trailer http.Header
	Body    string
	// Err is the error of the exchange, such as a truncated body.
	Err error
}

// Outcome returns the outcome in the response header. A response without that header comes from an endpoint and counts
// as answered.
func (r CallResult) Outcome() mtoutcome.Outcome {
	if text := r.Header.Get(mtoutcome.Header); text != "" {
		return mtoutcome.Outcome(text)
	}
	return mtoutcome.Answered
}

// Call sends a call to an entry instance by HTTP/1.1 on a new connection. The headers are pairs of name and value.
func (h *Harness) Call(ctx context.Context, entry, method, body string, headers ...string) CallResult {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return h.CallWithProtocols(ctx, protocols, entry, method, body, headers...)
}

// CallWithProtocols sends a call like Call, with the given protocols.
func (h *Harness) CallWithProtocols(
	ctx context.Context, protocols *http.Protocols, entry, method, body string, headers ...string,
) CallResult {
	transport := &http.Transport{
		DialContext: h.Network.Dial,
		Protocols:   protocols,
	}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+":80/"+ServiceName+"/"+method,
		strings.NewReader(body))
	if err != nil {
		return CallResult{Err: err}
	}
	mtauth.SetBearerToken(request.Header, TeamToken)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return CallResult{Err: err}
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return CallResult{
		Status:  response.StatusCode,
		Header:  response.Header,
		Trailer: response.Trailer,
		Body:    string(received),
		Err:     err,
	}
}

// KeyHeaderPair returns the name and the value of the header that carries an idempotency key.
func KeyHeaderPair(key string) []string {
	return []string{mtcall.IdempotencyKeyHeader, key}
}
