// The tables of an instance and their locks, outermost first. A goroutine that holds a lock takes only locks further
// down this list; most goroutines take one lock at a time:
//
//	Node.refreshMu     one refresh of the router at a time
//	mtgossip.Membership rows of the entry instances
//	mtreplica.State      ledger; rules are read without a lock
//	mtlist.List        entries of the instance list
//	mtadmission        buckets and shares of limits
//	mtkeytable.Keys        idempotency keys of calls that run at most once
//	mtrouter.Router    queues by service, then each queue
//	mtpool.Pool        connections by endpoint
//
// A worker pool runs the periodic tasks; the goroutines of net/http run the calls.

package mtnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtbody"
	"github.com/mangotack/mangotack/internal/adapter/mtclaimer"
	"github.com/mangotack/mangotack/internal/adapter/mtcontrol"
	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtfeed"
	"github.com/mangotack/mangotack/internal/adapter/mtgate"
	"github.com/mangotack/mangotack/internal/adapter/mtgossip"
	"github.com/mangotack/mangotack/internal/adapter/mtguard"
	"github.com/mangotack/mangotack/internal/adapter/mtlist"
	"github.com/mangotack/mangotack/internal/adapter/mtlogclient"
	"github.com/mangotack/mangotack/internal/adapter/mtmetrics"
	"github.com/mangotack/mangotack/internal/adapter/mtpeer"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/adapter/mtresolver"
	"github.com/mangotack/mangotack/internal/adapter/mtsender"
	"github.com/mangotack/mangotack/internal/adapter/mtserver"
	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/core/mtmembership"
	"github.com/mangotack/mangotack/internal/core/mtmemory"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	"github.com/mangotack/mangotack/internal/node/mtassignment"
	"github.com/mangotack/mangotack/internal/node/mtkeytable"
	"github.com/mangotack/mangotack/internal/node/mtreplica"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/internal/node/mtworker"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
)

const (
	workerCount           = 4
	gossipInterval        = time.Second
	listRefreshInterval   = time.Second
	routerRefreshInterval = time.Second
	routerTickInterval    = 5 * time.Millisecond
	sweepInterval         = time.Second
	// claimFlushInterval is the time between two flushes of claims by one instance when fewer than
	// instancesPerFlushTick instances are known.
	claimFlushInterval = 50 * time.Millisecond
	// instancesPerFlushTick is the number of instances that may flush claims in the same interval. For each further
	// such number of instances, every instance skips one more interval between its flushes.
	instancesPerFlushTick = 10
	// recordStream is the stream of configuration records on the platform's log.
	recordStream = "mangotack"
	// claimStream is the stream of claims on the platform's log.
	claimStream = "mangotack-claims"
	// leaveSpreadDelay is the time for gossip to spread that this instance leaves. It is added to the time for which
	// callers may cache an answer of Resolve.
	leaveSpreadDelay = 2 * time.Second
	// shutdownTimeout bounds the wait for calls in flight during shutdown.
	shutdownTimeout = 2 * time.Minute
	// teamKeyDivisor divides the limit of the key table to give the limit of one team.
	teamKeyDivisor = 4
)

// Node is an entry instance.
type Node struct {
	settings      *settingsv1.Settings
	logger        *logrus.Logger
	state         *mtreplica.Replica
	admission     *mtadmission.Controller
	keys          *mtkeytable.Table
	router        *mtrouter.Router
	connections   *mtpool.Pool
	instanceList  *mtlist.List
	recordLog     *mtlogclient.Client
	logFeed       *mtfeed.Follower
	claimer       *mtclaimer.Claimer
	members       *mtgossip.Membership
	assigner      *mtassignment.Assigner
	metrics       *mtmetrics.Meter
	callServer    *mtserver.Server
	controlServer *mtserver.Server
	// knownInstances is the number of instances known at the last refresh of the router.
	knownInstances atomic.Int64
	// claimFlushTicks counts the intervals in which claims could be flushed.
	claimFlushTicks int
	// refreshMu is locked before the lock of any table.
	refreshMu sync.Mutex
}

// NewNode builds an instance from complete settings and opens its listeners. It returns an error if the calls address
// is not valid or a listener can't be opened.
func NewNode(settings *settingsv1.Settings, logger *logrus.Logger, now time.Time) (*Node, error) {
	incarnation := max(1, rand.Uint64())
	recordLog := mtlogclient.NewClient(settings.GetLog(), recordStream)
	claimLog := mtlogclient.NewClient(settings.GetLog(), claimStream)
	state := mtreplica.NewReplica()
	callHost, _, err := net.SplitHostPort(settings.GetCalls())
	if err != nil {
		return nil, err
	}
	node := &Node{
		settings:  settings,
		logger:    logger,
		state:     state,
		admission: mtadmission.NewController(),
		keys: mtkeytable.NewTable(settings.GetInstance(), incarnation, now,
			mtdedup.WithLimits(int(settings.GetKeys()), int(settings.GetKeys())/teamKeyDivisor)),
		router:       mtrouter.NewRouter(settings.GetInstance(), settings.GetCentre()),
		connections:  mtpool.NewPool(mtpool.DialFrom(net.ParseIP(callHost))),
		instanceList: mtlist.NewList(settings.GetList(), logger),
		recordLog:    recordLog,
		logFeed:      mtfeed.NewFollower(recordLog, state, logger),
		claimer:      mtclaimer.NewClaimer(claimLog, settings.GetInstance(), incarnation, int(settings.GetKeys())),
		metrics:      mtmetrics.NewMeter(),
	}
	view := mtmembership.NewView(&peerv1.Row{
		Instance:    settings.GetInstance(),
		Incarnation: incarnation,
		Epoch:       uint64(now.UnixMilli()),
		Centre:      settings.GetCentre(),
	}, mtmembership.WithTickInterval(gossipInterval))
	node.members = mtgossip.NewMembership(view, state, settings.GetSeeds(), settings.GetPeer(), logger)
	node.assigner = mtassignment.NewAssigner(state, node.members)
	node.registerGauges()
	return node, node.listen()
}

// listen opens the listeners for calls and for control, and publishes their addresses in the own row.
func (n *Node) listen() error {
	var err error
	n.callServer, err = mtserver.NewServer(
		n.settings.GetCalls(), n.settings.GetCertificate(), n.settings.GetKey(), n.callHandler(),
		mtserver.WithDivision(headDivision(n.settings)))
	if err != nil {
		return err
	}
	n.controlServer, err = mtserver.NewServer(n.settings.GetControl(), "", "", n.controlHandler())
	if err != nil {
		_ = n.callServer.Close()
		return err
	}
	n.members.UpdateSelf(func(self *peerv1.Row) {
		self.Calls = n.callServer.Address()
		self.Control = n.controlServer.Address()
	})
	return nil
}

// divide returns the division of the memory that the settings name.
func divide(settings *settingsv1.Settings) mtmemory.Division {
	return mtmemory.Divide(float64(settings.GetMemory()), int(settings.GetDescriptors()))
}

// headDivision returns the division for heads and connections; the other half of the callers' part is for bodies.
func headDivision(settings *settingsv1.Settings) mtmemory.Division {
	division := divide(settings)
	division.Callers /= 2
	return division
}

// Addresses returns the addresses at which the instance listens for calls and for control requests.
func (n *Node) Addresses() (calls, control string) {
	return n.callServer.Address(), n.controlServer.Address()
}

// callHandler returns the handler of the calls address.
func (n *Node) callHandler() http.Handler {
	sender := mtsender.NewSender(n.router, n.connections,
		mtsender.WithInstanceCount(n.knownInstanceCount),
		mtsender.WithExtraAttemptHook(n.metrics.CountExtraAttempt))
	gate := mtgate.NewHandler(
		n.state, n.admission, mtguard.NewGuard(n.keys, n.members, n.claimer), sender, n.metrics, n.logger,
		mtgate.WithStale(n.settings.GetStale().AsDuration()),
		mtgate.WithMaxBodyBytes(int(n.settings.GetBody())),
		mtgate.WithBodyBudget(mtbody.NewBudget(divide(n.settings).Callers/2)))
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewResolveServiceHandler(
		mtresolver.NewResolver(n.state, n.assigner, n.keys, n.settings.GetCentre(), n.settings.GetHold().AsDuration())))
	mux.Handle("/", gate)
	return mux
}

// controlHandler returns the handler of the control address: operator and peer services, profiles and metrics.
func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewOperatorServiceHandler(
		mtcontrol.NewService(
			n.settings.GetInstance(), n.settings.GetOperators(), n.state, n.recordLog, n.members, n, n.logger)))
	mux.Handle(peerv1.PeerServicePathPrefix, mtpeer.NewServer(n.members, n.state, n.keys).Handler(n.settings.GetPeer()))
	for path, handler := range map[string]http.HandlerFunc{
		"/debug/pprof/":        pprof.Index,
		"/debug/pprof/profile": pprof.Profile,
		"/debug/pprof/trace":   pprof.Trace,
	} {
		mux.HandleFunc(path, n.operatorsOnly(handler))
	}
	mux.HandleFunc("/metrics", func(writer http.ResponseWriter, _ *http.Request) {
		n.metrics.Write(writer)
	})
	return mux
}

// operatorsOnly returns a handler that rejects requests without an operator's token.
func (n *Node) operatorsOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !mtauth.HasAllowedToken(request.Header, n.settings.GetOperators()) {
			http.Error(writer, "header Authorization: expected an operator's token", http.StatusForbidden)
			return
		}
		handler(writer, request)
	}
}

// knownInstanceCount returns the number of instances that share the endpoints, as known at the last refresh of the
// router; it is at least 1.
//
// Every call reads it, so it costs one atomic load.
func (n *Node) knownInstanceCount() int {
	return int(max(1, n.knownInstances.Load()))
}

// Run serves until the context ends, then leaves the cluster and waits for the calls in flight, for at most
// shutdownTimeout. It returns an error if a listener fails.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	workers := mtworker.NewPool(background, workerCount)
	n.startBackgroundTasks(background, workers)
	serveErrors := make(chan error, 2)
	for _, server := range []*mtserver.Server{n.callServer, n.controlServer} {
		go func() {
			serveErrors <- server.Serve()
		}()
	}
	mtevent.InstanceStarted.Log(n.logger, logrus.Fields{
		"instance": n.settings.GetInstance(),
		"calls":    n.settings.GetCalls(),
		"control":  n.settings.GetControl(),
	})
	var err error
	select {
	case <-ctx.Done():
		n.leaveAndDrain(background)
	case err = <-serveErrors:
		mtevent.ListenerFailed.Log(n.logger, logrus.Fields{
			"error": err,
		})
	}
	stop()
	_ = n.callServer.Close()
	_ = n.controlServer.Close()
	workers.Wait()
	mtevent.InstanceStopped.Log(n.logger, logrus.Fields{})
	return err
}

// startBackgroundTasks starts the readers of the log and the periodic tasks.
func (n *Node) startBackgroundTasks(ctx context.Context, workers *mtworker.Pool) {
	go n.logFeed.Run(ctx)
	go n.claimer.Run(ctx)
	go n.refreshOnLogAdvance(ctx)
	workers.RunEvery(ctx, gossipInterval, n.gossipRound)
	workers.RunEvery(ctx, listRefreshInterval, func(ctx context.Context, now time.Time) {
		n.instanceList.RefreshIfDue(ctx, now)
		n.members.SetSeeds(n.seedAddresses())
	})
	workers.RunEvery(ctx, routerRefreshInterval, func(_ context.Context, now time.Time) {
		n.refreshRouter(now)
	})
	workers.RunEvery(ctx, routerTickInterval, func(_ context.Context, now time.Time) {
		n.router.Tick(now)
	})
	workers.RunEvery(ctx, claimFlushInterval, n.flushClaims)
	workers.RunEvery(ctx, sweepInterval, func(ctx context.Context, now time.Time) {
		n.keys.Sweep(now)
		n.connections.CloseIdle(now)
		n.logFeed.AppendSnapshotIfDue(ctx, n.settings.GetRetention().AsDuration(), n.aliveRank(now), now)
	})
}

// leaveAndDrain announces that this instance leaves, waits until no caller has a cached answer that names it, and waits
// for the calls in flight.
func (n *Node) leaveAndDrain(ctx context.Context) {
	mtevent.InstanceDraining.Log(n.logger, logrus.Fields{})
	n.members.UpdateSelf(func(self *peerv1.Row) {
		self.Leaving = true
	})
	n.members.ExchangeWithPeers(ctx, time.Now())
	time.Sleep(n.settings.GetHold().AsDuration() + leaveSpreadDelay)
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	_ = n.callServer.Shutdown(shutdownCtx)
}
