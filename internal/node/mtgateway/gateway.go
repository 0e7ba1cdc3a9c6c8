// Lock order, outermost lock first. A goroutine that holds a lock may take only locks further down this list:
//
//	Gateway.rolesMu    selection of the instances with a role
//	Gateway.applyMu    one batch of changes at a time, from its acceptance until it is in force
//	Gateway.mu         registry of endpoints, placers, waiting requests
//	mtmesh.Mesh        rows of the instances; CompleteRow takes feedSet.mu under it
//	feedSet.mu         feeds
//	retryBudgets, mtquotas.Quotas, requestQuarantine, callerPatience, helperChooser, mtupstream.Pool   leaves

package mtgateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	"github.com/mangotack/mangotack/internal/adapter/mtserver"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtbandwidth"
	"github.com/mangotack/mangotack/internal/core/mtevacuation"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtmemory"
	"github.com/mangotack/mangotack/internal/core/mtreach"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/internal/core/mtstartup"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtquotas"
)

const (
	maintenanceInterval = time.Second
	// shutdownMargin is the end of the shutdown grace period that drain leaves unused.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is the time for writing the last answers before drain ends.
	answerMargin = 200 * time.Millisecond
	// drainPollInterval is the time between two checks for unanswered requests.
	drainPollInterval = 20 * time.Millisecond
)

// Gateway is one entry instance.
type Gateway struct {
	currentSettings atomic.Pointer[Settings]
	store           Store
	headerCodec     HeaderCodec
	recordDecoder   RecordDecoder
	logger          *logrus.Logger
	requestLog      *requestLog
	metrics         *gatewayMetrics
	endpointPool    *mtupstream.Pool
	mesh            *mtmesh.Mesh
	feeds           *feedSet
	retryBudgets    *retryBudgets
	callerPatience  *callerPatience
	quarantine      *requestQuarantine
	// crashChecks are the checks whether an endpoint has crashed, by its process.
	crashChecks singleflight.Group
	requestRate sharedRate
	// responseByteRate is the number of bytes sent to callers a second.
	responseByteRate sharedRate
	// division is that of the memory at the start, and memory bounds what callers hold of it.
	division mtmemory.Division
	memory   *mtingress.Memory
	ingress  *mtingress.Server
	// relayIngress accepts requests that other instances pass on, and relayPool holds the connections to them.
	relayIngress *mtingress.Server
	relayPool    *mtupstream.Pool
	helpers      *helperChooser
	quotas       *mtquotas.Quotas
	httpServers  []*http.Server
	peerClient   *http.Client

	routeTable        atomic.Pointer[mtroute.Table]
	inForce           atomic.Pointer[configurationInForce]
	announcedVersion  highestVersion
	startedAt         time.Time
	applyMu           sync.Mutex
	receivers         atomic.Pointer[receiverSet]
	roleSelectionWake chan struct{}
	// rolesMu is held while roles are selected, and is locked before any other mutex; it guards receiverSelection and
	// startup.
	rolesMu           sync.Mutex
	receiverSelection mtsteering.ReceiverSelector
	startup           mtstartup.PeerWait
	// storeRole is the mtreplication.Role of this instance.
	storeRole  atomic.Int32
	isReceiver atomic.Bool
	// ownsQuotas is set while this instance leases the quotas of tenants.
	ownsQuotas atomic.Bool
	lacksCPU   atomic.Bool
	// lostServices are the services of which this instance reaches no endpoint.
	lostServices atomic.Pointer[[]string]
	leaving      atomic.Bool
	// answerBy is when the last requests must be answered, once the instance leaves; drainEnded ends then.
	answerBy   atomic.Pointer[time.Time]
	drainEnded context.Context
	endDrain   context.CancelFunc
	// announcedReady is set once the other instances have been told that this one is ready.
	announcedReady atomic.Bool
	// lostRecords is the reading of records that peers have in force and the restored store has lost.
	lostRecords lostRecordsReading
	// endpointsLoaded is set once the full list of endpoints has been read.
	endpointsLoaded atomic.Bool

	pauseWatch pauseWatch
	// loggedInvalidConfiguration is the hash of the last record that can't be decoded; applyMu guards it.
	loggedInvalidConfiguration [sha256.Size]byte

	// Only runMaintenance and its callees use the fields from here to loggedMemory.
	lastDiscovery     time.Time
	discoveryInterval time.Duration
	membersWritten    time.Time
	lastMembersRecord string
	// lastMembersEra is the era of the store in which lastMembersRecord was written.
	lastMembersEra uint64
	// loggedMemory are the counts of the last call of logMemory.
	loggedMemory mtmemory.Counts

	// mu is locked before the mutex of the endpoint pool.
	mu       sync.Mutex
	registry *mtregistry.Registry
	targets  map[string]*mtscheduler.Endpoint
	placers  map[string]*mtscheduler.Scheduler
	// link limits the requests to what the own link can carry.
	link           *mtbandwidth.Limiter
	waiters        map[uint64]*waiter
	nextDispatches map[string]time.Time
	// loggedInvalidRetryAfter contains the endpoints that sent an invalid Retry-After; each is logged once.
	loggedInvalidRetryAfter map[string]bool
	// loggedInvalidLimits contains the endpoints that named a limit that can't be parsed; each is logged once.
	loggedInvalidLimits map[string]bool
	// trackers tell of each service whether this instance reaches its endpoints.
	trackers map[string]*mtreach.Tracker
	// endpointRespondedAt is when an endpoint of any service last responded.
	endpointRespondedAt time.Time
	// limitSharing is the view from which the shares of request limits follow.
	limitSharing mtsteering.LimitSharing
	// evacuations contains the evacuated zones, and loggedUnknownZones those that no endpoint names; each is logged once.
	evacuations        *mtevacuation.Set
	loggedUnknownZones map[string]bool
	// warmUpSharing is the view from which the shares of the rates of cold endpoints follow, and pendingWarmUps contains
	// the endpoints that the other instances are told of next.
	warmUpSharing    mtsteering.WarmUpSharing
	pendingWarmUps   map[*mtscheduler.Endpoint]bool
	broadcastWarmUps func(warmUps []*peerv1.WarmUp, now time.Time)
	// warmUpHeaderSeen contains the services whose endpoints have stated in a response how long they are cold.
	warmUpHeaderSeen map[string]bool
	// retired contains the targets whose entries are gone, by their processes.
	retired       map[endpointProcess]retiredTarget
	lastRequestID uint64
	// maxProbesPerSecond bounds the load probes of one endpoint.
	maxProbesPerSecond float64
}

// NewGateway builds an instance and opens its listeners.
func NewGateway(
	settings *Settings, store Store, headerCodec HeaderCodec, recordDecoder RecordDecoder, newDirectoryHandler DirectoryHandlerFactory,
	logger *logrus.Logger, now time.Time,
) (*Gateway, error) {
	host, _, err := net.SplitHostPort(settings.Calls)
	if err != nil {
		return nil, err
	}
	gateway := &Gateway{
		store:          store,
		startedAt:      now,
		headerCodec:    headerCodec,
		recordDecoder:  recordDecoder,
		logger:         logger,
		requestLog:     newRequestLog(logger),
		metrics:        newGatewayMetrics(),
		endpointPool:   mtupstream.NewPool(headerCodec, net.ParseIP(host)),
		relayPool:      mtupstream.NewPool(opaqueResponses{}, net.ParseIP(host)),
		helpers:        newHelperChooser(),
		feeds:          newFeedSet(now),
		retryBudgets:   newRetryBudgets(settings.RetryPart, settings.RetryWindow),
		callerPatience: newCallerPatience(),
		quarantine:     newRequestQuarantine(),
		peerClient: &http.Client{
			Transport: boundedTransport{
				mtresponseguard.NewTransport(&http.Transport{
					MaxIdleConns:           2,
					IdleConnTimeout:        peerReadTimeout,
					MaxResponseHeaderBytes: maxPeerHeaderBytes,
				}),
			},
		},
		receiverSelection: mtsteering.ReceiverSelector{
			Started: now,
		},
		startup: mtstartup.PeerWait{
			Started:           now,
			Cores:             settings.Capacity,
			IsFirstDeployment: settings.First,
		},
		roleSelectionWake: make(chan struct{}, 1),
		discoveryInterval: minDiscoveryInterval,
		lastDiscovery:     now,
		registry:          mtregistry.NewRegistry(),
		targets:           map[string]*mtscheduler.Endpoint{},
		placers:           map[string]*mtscheduler.Scheduler{},
		link:              mtbandwidth.NewLimiter(settings.Link),
		waiters:           map[uint64]*waiter{},
		nextDispatches:    map[string]time.Time{},

		loggedInvalidRetryAfter: map[string]bool{},
		loggedInvalidLimits:     map[string]bool{},
		trackers:                map[string]*mtreach.Tracker{},
		evacuations:             mtevacuation.NewSet(),
		loggedUnknownZones:      map[string]bool{},
		pendingWarmUps:          map[*mtscheduler.Endpoint]bool{},
		warmUpHeaderSeen:        map[string]bool{},
		retired:                 map[endpointProcess]retiredTarget{},
	}
	gateway.divideMemory(settings)
	gateway.currentSettings.Store(settings)
	gateway.drainEnded, gateway.endDrain = context.WithCancel(context.Background())
	gateway.registerGauges()
	return gateway, gateway.openListeners(newDirectoryHandler, now)
}

func (g *Gateway) openListeners(newDirectoryHandler DirectoryHandlerFactory, now time.Time) error {
	var err error
	g.ingress, err = mtingress.NewServer(g.settings().Calls, g, g.ingressLimits, mtingress.WithMemory(g.memory))
	if err != nil {
		return err
	}
	if g.settings().Relay != "" {
		g.relayIngress, err = mtingress.NewServer(g.settings().Relay, relayedCalls{
			gateway: g,
		}, g.relayIngressLimits, mtingress.WithMemory(g.memory))
		if err != nil {
			return err
		}
	}
	g.mesh, err = mtmesh.NewMesh(&peerv1.Row{
		Instance:    g.settings().Instance,
		Incarnation: max(1, rand.Uint64()),
		Epoch:       uint64(now.UnixMilli()),
		Centre:      g.settings().Centre,
		Calls:       g.settings().Calls,
		Mesh:        g.settings().Mesh,
		Relay:       relayPort(g.settings().Relay),
		Capacity:    float32(g.settings().Capacity),
	}, g.settings().Seeds, g, g.logger)
	if err != nil {
		return err
	}
	g.broadcastWarmUps = g.mesh.BroadcastWarmUps
	g.quotas = mtquotas.NewQuotas(g.settings().Instance, quotaBounds(g.settings()), g.mesh, now)
	directoryHandler := newDirectoryHandler(g.receiverAddresses, g.isReady)
	handlers := map[string]http.Handler{
		g.settings().Directory: directoryHandler,
		g.settings().Ready:     directoryHandler,
		g.settings().Mesh:      g.peerHandler(),
	}
	if g.settings().Metrics != "" {
		handlers[g.settings().Metrics] = g.metricsHandler()
	}
	pageBound := mtserver.NewBound(g.division.Pages())
	for address, handler := range handlers {
		if err := g.startHTTPServer(address, handler, pageBound); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) registerGauges() {
	g.metrics.addGauge("mangotack_gateway_replaced_responses_total", func() float64 {
		count := int64(0)
		for _, ingress := range g.ingresses() {
			count += ingress.ReplacedCount()
		}
		return float64(count)
	})
	g.metrics.addGauge("mangotack_gateway_waiting_requests", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.waiters))
	})
	g.metrics.addGauge("mangotack_gateway_link_wait_seconds", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.link.Wait(0, 0, true, time.Now()).Seconds()
	})
	g.metrics.addGauge("mangotack_gateway_endpoints", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.targets))
	})
	for state, index := range map[string]int{
		"suspected":   0,
		"quarantined": 1,
	} {
		g.metrics.addGauge(fmt.Sprintf(`mangotack_gateway_suspects{state=%q}`, state), func() float64 {
			suspected, quarantined := g.quarantine.counts(time.Now())
			return float64([]int{suspected, quarantined}[index])
		})
	}
	g.metrics.addGauge("mangotack_gateway_retry_slack", g.retryBudgets.currentSlack)
	g.metrics.addGauge("mangotack_gateway_retry_slack_saved", func() float64 {
		return g.retryBudgets.savedByUnused(time.Now())
	})
	g.metrics.addGauge("mangotack_gateway_limited_endpoints", func() float64 {
		return float64(g.countLimitedEndpoints(time.Now()))
	})
	g.metrics.addGauge("mangotack_gateway_cold_endpoints", func() float64 {
		return float64(g.countColdEndpoints(time.Now()))
	})
	g.metrics.addGauge("mangotack_gateway_evacuated_endpoints", func() float64 {
		return float64(g.countEvacuatedEndpoints())
	})
	g.metrics.addGauge("mangotack_gateway_connections_total", func() float64 {
		return float64(g.endpointPool.DialCount())
	})
	for _, state := range []string{mtmembership.Alive, mtmembership.Suspect, mtmembership.Dead, mtmembership.Leaving} {
		g.metrics.addGauge(fmt.Sprintf(`mangotack_gateway_members{state=%q}`, state), func() float64 {
			return float64(g.mesh.CountInState(state, time.Now()))
		})
	}
	for _, kind := range mtmesh.Kinds() {
		for centre, isRemote := range map[string]bool{
			"own":   false,
			"other": true,
		} {
			g.metrics.addGauge(fmt.Sprintf(`mangotack_gateway_mesh_bytes_total{kind=%q,centre=%q}`, kind, centre), func() float64 {
				return float64(g.mesh.SentBytes(kind, isRemote))
			})
		}
	}
	for name, level := range map[string]importance{
		"ordinary": importanceOrdinary,
		"failure":  importanceFailure,
	} {
		g.metrics.addGauge(fmt.Sprintf(`mangotack_gateway_lines_left_out_total{importance=%q}`, name), func() float64 {
			return float64(g.requestLog.suppressed(level))
		})
	}
	for _, f := range g.feeds.byNumber {
		g.metrics.addGauge(`mangotack_gateway_news_age_seconds{feed="`+f.number.String()+`"}`, func() float64 {
			g.feeds.mu.Lock()
			defer g.feeds.mu.Unlock()
			return f.follower.Age(time.Now()).Seconds()
		})
	}
}

// RegisterDroppedLines registers a metric for the number of dropped log lines, which read returns.
func (g *Gateway) RegisterDroppedLines(read func() int64) {
	g.metrics.addGauge("mangotack_gateway_lines_dropped_total", func() float64 {
		return float64(read())
	})
}

func (g *Gateway) settings() *Settings {
	return g.currentSettings.Load()
}

// Reload brings new settings into force, except addresses and names, which stay until the next start.
func (g *Gateway) Reload(settings *Settings, now time.Time) {
	previous := g.settings()
	updated := *settings
	updated.Instance, updated.Centre = previous.Instance, previous.Centre
	updated.Calls, updated.Ready, updated.Directory, updated.Mesh =
		previous.Calls, previous.Ready, previous.Directory, previous.Mesh
	updated.Metrics, updated.Store, updated.Relay = previous.Metrics, previous.Store, previous.Relay
	g.currentSettings.Store(&updated)
	g.mu.Lock()
	g.link.SetLink(updated.Link)
	g.mu.Unlock()
	g.retryBudgets.setRatio(updated.RetryPart, updated.RetryWindow, now)
	g.quotas.SetBounds(quotaBounds(&updated), now)
	g.mesh.AddSeeds(updated.Seeds, now)
	g.wakeRoleSelection()
	mtevent.SettingsReloaded.Log(g.logger, logrus.Fields{
		"later": previous.Calls != settings.Calls || previous.Store != settings.Store ||
			previous.Directory != settings.Directory,
	})
}

// ingressLimits returns the limits for callers under the configuration in force.
func (g *Gateway) ingressLimits() mtingress.Limits {
	table := g.routeTable.Load()
	if table == nil {
		return mtingress.Limits{}
	}
	return mtingress.Limits(table.Limits)
}

// isReady reports whether the instance has the state that it needs to serve and is not leaving.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.isStateLoaded()
}

// isStateLoaded reports whether the configuration and the endpoints are loaded.
func (g *Gateway) isStateLoaded() bool {
	return g.endpointsLoaded.Load() && g.routeTable.Load() != nil && !g.awaitsAnnouncedVersion(time.Now()) &&
		!g.awaitsLostRecords(time.Now())
}

// expectedDuration returns how long a request should take at an idle endpoint.
func (g *Gateway) expectedDuration(service string, request *mtscheduler.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placerFor(service).ExpectedProcessingTime(request)
}

// Run serves until the context ends, then drains the open requests.
func (g *Gateway) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	mtevent.InstanceStarted.Log(g.logger, logrus.Fields{
		"instance": g.settings().Instance,
		"calls":    g.settings().Calls,
	})
	go g.mesh.Run(background)
	for _, f := range g.feeds.byNumber {
		go g.followFeed(background, f)
	}
	go g.runRoleSelection(background)
	go g.runMaintenance(background)
	go g.quotas.Run(background)
	go g.pauseWatch.run(background)
	go g.ingress.Serve(func(err error) {
		g.logListenerFailure(g.settings().Calls, err)
	})
	if g.relayIngress != nil {
		go g.relayIngress.Serve(func(err error) {
			g.logListenerFailure(g.settings().Relay, err)
		})
	}
	<-ctx.Done()
	g.drain()
	mtevent.InstanceStopped.Log(g.logger, logrus.Fields{
		"unanswered": g.unansweredCount(),
	})
}

// Close closes the HTTP servers of an instance that has stopped.
func (g *Gateway) Close() {
	for _, server := range g.httpServers {
		_ = server.Close()
	}
}

func (g *Gateway) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.endpointPool.CloseExpired(now)
			g.relayPool.CloseExpired(now)
			g.expireNotices(now)
			g.quarantine.expire(now)
			g.maintainMembers(ctx, now)
			g.logMemory()
		}
	}
}

// ingresses returns the servers that accept requests.
func (g *Gateway) ingresses() []*mtingress.Server {
	if g.relayIngress == nil {
		return []*mtingress.Server{g.ingress}
	}
	return []*mtingress.Server{g.ingress, g.relayIngress}
}

// unansweredCount returns the number of requests that are not answered yet.
func (g *Gateway) unansweredCount() int {
	count := 0
	for _, ingress := range g.ingresses() {
		count += ingress.UnansweredCount()
	}
	return count
}

// drain directs callers to other instances, accepts late requests for a while, and finishes the open requests. What can't be
// finished in time is answered shortly before the end.
func (g *Gateway) drain() {
	started := time.Now()
	mtevent.InstanceDraining.Log(g.logger, logrus.Fields{
		"unanswered": g.unansweredCount(),
	})
	deadline := started.Add(g.settings().Grace - shutdownMargin)
	answerBy := deadline.Add(-answerMargin)
	g.answerBy.Store(&answerBy)
	timer := time.AfterFunc(time.Until(answerBy), g.endDrain)
	defer timer.Stop()
	g.leaving.Store(true)
	g.selectRoles(started)
	g.mesh.SendHeartbeat(started)
	for _, ingress := range g.ingresses() {
		ingress.DisableKeepAlive()
	}
	time.Sleep(g.settings().Stay)
	for _, ingress := range g.ingresses() {
		// The second half of the time is left to run what was read.
		ingress.Close(started.Add(deadline.Sub(started) / 2))
	}
	for g.unansweredCount() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, ingress := range g.ingresses() {
		ingress.Wait(ctx)
	}
}

// boundDeadline returns the deadline of a request, which is not later than the end of an instance that leaves.
func (g *Gateway) boundDeadline(deadline time.Time) time.Time {
	if answerBy := g.answerBy.Load(); answerBy != nil && answerBy.Before(deadline) {
		return *answerBy
	}
	return deadline
}
