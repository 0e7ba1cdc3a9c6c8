// The tables of an instance and their locks, outermost first. A goroutine that holds one lock takes only locks further
// down this list, and most take one at a time:
//
//	Node.refreshing    one refresh of the router at a time
//	mtgossip.Members   rows of the entry instances
//	mtstate.State      ledger; rules are read without a lock
//	mtlist.List        lines of the instance list
//	mtadmission        buckets and shares of limits
//	mtkeys.Keys        keys of calls that run at most once
//	mtrouter.Router    desks by service, then each desk
//	mtpool.Pool        connections by endpoint
//
// A pool of workers runs the periodic work; net/http's goroutines run the calls.

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
	"github.com/mangotack/mangotack/internal/adapter/mtclaimer"
	"github.com/mangotack/mangotack/internal/adapter/mtcontrol"
	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtfeed"
	"github.com/mangotack/mangotack/internal/adapter/mtgate"
	"github.com/mangotack/mangotack/internal/adapter/mtgossip"
	"github.com/mangotack/mangotack/internal/adapter/mtguard"
	"github.com/mangotack/mangotack/internal/adapter/mtlist"
	"github.com/mangotack/mangotack/internal/adapter/mtlogclient"
	"github.com/mangotack/mangotack/internal/adapter/mtmeter"
	"github.com/mangotack/mangotack/internal/adapter/mtpeer"
	"github.com/mangotack/mangotack/internal/adapter/mtpool"
	"github.com/mangotack/mangotack/internal/adapter/mtresolver"
	"github.com/mangotack/mangotack/internal/adapter/mtsender"
	"github.com/mangotack/mangotack/internal/adapter/mtserver"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtonce"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	"github.com/mangotack/mangotack/internal/node/mtcrews"
	"github.com/mangotack/mangotack/internal/node/mtkeys"
	"github.com/mangotack/mangotack/internal/node/mtrouter"
	"github.com/mangotack/mangotack/internal/node/mtstate"
	"github.com/mangotack/mangotack/internal/node/mtworker"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
)

const (
	workers       = 4
	gossipPeriod  = time.Second
	listPeriod    = time.Second
	refreshPeriod = time.Second
	tickPeriod    = 5 * time.Millisecond
	sweepPeriod   = time.Second
	// claimPeriod is the time between two batches of claims of one instance in a small fleet, and claimSharers the number
	// of instances that share the appends of one such period.
	claimPeriod  = 50 * time.Millisecond
	claimSharers = 10
	// recordStream and claimStream are the streams on the platform's log.
	recordStream = "mangotack"
	claimStream  = "mangotack-claims"
	// drainMargin is added to the time for which callers hold an answer, for the gossip to spread the leave.
	drainMargin = 2 * time.Second
	// finishTimeout bounds the wait for calls in flight at the end.
	finishTimeout = 2 * time.Minute
	// teamPart is the divisor of the keys that one team may use.
	teamPart = 4
)

// Node is one entry instance.
type Node struct {
	settings  *settingsv1.Settings
	logger    *logrus.Logger
	state     *mtstate.State
	admission *mtadmission.Admission
	keys      *mtkeys.Keys
	router    *mtrouter.Router
	pool      *mtpool.Pool
	list      *mtlist.List
	log       *mtlogclient.Client
	feed      *mtfeed.Feed
	claimer   *mtclaimer.Claimer
	members   *mtgossip.Members
	crews     *mtcrews.Assigner
	meter     *mtmeter.Meter
	calls     *mtserver.Server
	control   *mtserver.Server
	// known is the number of instances known at the last refresh.
	known atomic.Int64
	// claimTicks counts the periods of claims.
	claimTicks int
	// refreshing is taken before any lock of a table.
	refreshing sync.Mutex
}

// NewNode builds an instance from complete settings and opens its listeners.
func NewNode(settings *settingsv1.Settings, logger *logrus.Logger, now time.Time) (*Node, error) {
	incarnation := max(1, rand.Uint64())
	log := mtlogclient.NewClient(settings.GetLog(), recordStream)
	claims := mtlogclient.NewClient(settings.GetLog(), claimStream)
	state := mtstate.NewState()
	local, _, err := net.SplitHostPort(settings.GetCalls())
	if err != nil {
		return nil, err
	}
	node := &Node{
		settings:  settings,
		logger:    logger,
		state:     state,
		admission: mtadmission.NewAdmission(),
		keys: mtkeys.NewKeys(settings.GetInstance(), incarnation, now,
			mtonce.WithLimits(int(settings.GetKeys()), int(settings.GetKeys())/teamPart)),
		router:  mtrouter.NewRouter(settings.GetInstance(), settings.GetCentre()),
		pool:    mtpool.NewPool(mtpool.DialFrom(net.ParseIP(local))),
		list:    mtlist.NewList(settings.GetList(), logger),
		log:     log,
		feed:    mtfeed.NewFeed(log, state, logger),
		claimer: mtclaimer.NewClaimer(claims, settings.GetInstance(), incarnation, int(settings.GetKeys())),
		meter:   mtmeter.NewMeter(),
	}
	view := mtmember.NewView(&peerv1.Row{
		Instance:    settings.GetInstance(),
		Incarnation: incarnation,
		Epoch:       uint64(now.UnixMilli()),
		Centre:      settings.GetCentre(),
	}, mtmember.WithPeriod(gossipPeriod))
	node.members = mtgossip.NewMembers(view, state, settings.GetSeeds(), settings.GetPeer(), logger)
	node.crews = mtcrews.NewAssigner(state, node.members)
	node.addGauges()
	return node, node.listen()
}

func (n *Node) listen() error {
	var err error
	n.calls, err = mtserver.NewServer(n.settings.GetCalls(), n.settings.GetCertificate(), n.settings.GetKey(), n.callsHandler())
	if err != nil {
		return err
	}
	n.control, err = mtserver.NewServer(n.settings.GetControl(), "", "", n.controlHandler())
	if err != nil {
		_ = n.calls.Close()
		return err
	}
	n.members.Fill(func(self *peerv1.Row) {
		self.Calls = n.calls.Address()
		self.Control = n.control.Address()
	})
	return nil
}

// Addresses returns where the instance listens for callers and for control.
func (n *Node) Addresses() (calls, control string) {
	return n.calls.Address(), n.control.Address()
}

func (n *Node) callsHandler() http.Handler {
	sender := mtsender.NewSender(n.router, n.pool,
		mtsender.WithMembers(n.memberCount),
		mtsender.WithExtra(n.meter.Extra))
	gate := mtgate.NewGate(n.state, n.admission, mtguard.NewGuard(n.keys, n.members, n.claimer), sender, n.meter, n.logger,
		mtgate.WithStale(n.settings.GetStale().AsDuration()),
		mtgate.WithBodyLimit(int(n.settings.GetBody())))
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewResolveServiceHandler(
		mtresolver.NewResolver(n.state, n.crews, n.keys, n.settings.GetCentre(), n.settings.GetHold().AsDuration())))
	mux.Handle("/", gate)
	return mux
}

func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(entryv1connect.NewOperatorServiceHandler(
		mtcontrol.NewControl(n.settings.GetInstance(), n.settings.GetOperators(), n.state, n.log, n.members, n, n.logger)))
	mux.Handle(peerv1.PeerServicePathPrefix, mtpeer.NewServer(n.members, n.state, n.keys).Handler(n.settings.GetPeer()))
	for path, handler := range map[string]http.HandlerFunc{
		"/debug/pprof/":        pprof.Index,
		"/debug/pprof/profile": pprof.Profile,
		"/debug/pprof/trace":   pprof.Trace,
	} {
		mux.HandleFunc(path, n.operatorsOnly(handler))
	}
	mux.HandleFunc("/metrics", func(to http.ResponseWriter, _ *http.Request) {
		n.meter.Write(to)
	})
	return mux
}

// operatorsOnly refuses requests without an operator's token.
func (n *Node) operatorsOnly(handler http.HandlerFunc) http.HandlerFunc {
	return func(to http.ResponseWriter, request *http.Request) {
		if !mtauth.IsOneOf(request.Header, n.settings.GetOperators()) {
			http.Error(to, "header Authorization: expected an operator's token", http.StatusForbidden)
			return
		}
		handler(to, request)
	}
}

// memberCount returns the number of instances that share the endpoints, as of the last refresh.
//
// Every call asks for it, so it costs one atomic load.
func (n *Node) memberCount() int {
	return int(max(1, n.known.Load()))
}

// Run serves until the context ends, then leaves without cutting off a call.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	pool := mtworker.NewPool(background, workers)
	n.schedule(background, pool)
	failed := make(chan error, 2)
	for _, server := range []*mtserver.Server{n.calls, n.control} {
		go func() {
			failed <- server.Serve()
		}()
	}
	mtevent.Started.Log(n.logger, logrus.Fields{
		"instance": n.settings.GetInstance(),
		"calls":    n.settings.GetCalls(),
		"control":  n.settings.GetControl(),
	})
	var err error
	select {
	case <-ctx.Done():
		n.leave(background)
	case err = <-failed:
		mtevent.ListenFailed.Log(n.logger, logrus.Fields{
			"error": err,
		})
	}
	stop()
	_ = n.calls.Close()
	_ = n.control.Close()
	pool.Wait()
	mtevent.Stopped.Log(n.logger, logrus.Fields{})
	return err
}

// schedule hands the periodic work to the workers.
func (n *Node) schedule(ctx context.Context, pool *mtworker.Pool) {
	go n.feed.Run(ctx)
	go n.claimer.Run(ctx)
	go n.followLog(ctx)
	pool.RunEvery(ctx, gossipPeriod, n.gossip)
	pool.RunEvery(ctx, listPeriod, func(ctx context.Context, now time.Time) {
		n.list.Refresh(ctx, now)
		n.members.SetSeeds(n.seeds())
	})
	pool.RunEvery(ctx, refreshPeriod, func(_ context.Context, now time.Time) {
		n.refresh(now)
	})
	pool.RunEvery(ctx, tickPeriod, func(_ context.Context, now time.Time) {
		n.router.Tick(now)
	})
	pool.RunEvery(ctx, claimPeriod, n.flushClaims)
	pool.RunEvery(ctx, sweepPeriod, func(ctx context.Context, now time.Time) {
		n.keys.Sweep(now)
		n.pool.Sweep(now)
		n.feed.KeepSnapshot(ctx, n.settings.GetRetention().AsDuration(), n.rank(now), now)
	})
}

// leave sends callers elsewhere, waits until no answer that names this instance is held, and finishes the calls.
func (n *Node) leave(ctx context.Context) {
	mtevent.Stopping.Log(n.logger, logrus.Fields{})
	n.members.Fill(func(self *peerv1.Row) {
		self.Leaving = true
	})
	n.members.Round(ctx, time.Now())
	time.Sleep(n.settings.GetHold().AsDuration() + drainMargin)
	limited, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	_ = n.calls.Shutdown(limited)
}
