// The tables of an instance and their locks, outermost first. A goroutine that holds one lock takes only locks further
// down this list:
//
//	Gateway.applying   one batch of changes at a time, from its acceptance until it is in force
//	Gateway.mu         registry of endpoints, placers, waiting requests
//	mtmesh.Mesh        rows of the instances; Fill takes news.mu under it
//	news.mu            feeds
//	budgets, patience, mtupstream.Pool   leaves

package mtgateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtmember"
	"github.com/mangotack/mangotack/internal/core/mtopening"
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtsteer"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	sweepPeriod = time.Second
	// graceMargin is kept free at the end of the time to stop.
	graceMargin = 400 * time.Millisecond
	// leaveCheck is the time between two looks at what is unanswered.
	leaveCheck = 20 * time.Millisecond
)

// Gateway is one entry instance.
type Gateway struct {
	current  atomic.Pointer[Settings]
	store    Store
	exchange Exchange
	formats  Formats
	logger   *logrus.Logger
	journal  *journal
	meter    *meter
	pool     *mtupstream.Pool
	mesh     *mtmesh.Mesh
	news     *news
	budgets  *budgets
	patience *patience
	rate     rate
	// traffic is the number of bytes a second that go to callers.
	traffic rate
	calls   *mtingress.Server
	pages   []*http.Server
	peers   *http.Client

	table     atomic.Pointer[mtroute.Table]
	applying  sync.Mutex
	steering  atomic.Pointer[steering]
	steerWake chan struct{}
	// choosing is held while roles are chosen and before any other mutex; crews and opening are used under it.
	choosing sync.Mutex
	crews    mtsteer.Crews
	opening  mtopening.Opening
	// reads is the instance's mtnews.Role.
	reads    atomic.Int32
	inCrew   atomic.Bool
	strained atomic.Bool
	leaving  atomic.Bool
	// haveEndpoints is set once the whole list of endpoints was read.
	haveEndpoints atomic.Bool

	// The fields below belong to the goroutine of meet.
	met       time.Time
	meetPause time.Duration
	recorded  time.Time
	record    string

	// mu is held before that of the pool.
	mu       sync.Mutex
	registry *mtregistry.Registry
	targets  map[string]*mtplacer.Target
	placers  map[string]*mtplacer.Placer
	seats    map[uint64]*seat
	wakes    map[string]time.Time
	// unreadRests are the endpoints whose Retry-After could not be read; each is logged once.
	unreadRests map[string]bool
	last        uint64
	// looks is the most looks at one endpoint a second.
	looks float64
}

// NewGateway builds an instance and opens its listeners.
func NewGateway(settings *Settings, store Store, exchange Exchange, formats Formats, directory Directory, logger *logrus.Logger, now time.Time) (*Gateway, error) {
	host, _, err := net.SplitHostPort(settings.Calls)
	if err != nil {
		return nil, err
	}
	gateway := &Gateway{
		store:    store,
		exchange: exchange,
		formats:  formats,
		logger:   logger,
		journal:  newJournal(logger),
		meter:    newMeter(),
		pool:     mtupstream.NewPool(exchange, net.ParseIP(host)),
		news:     newNews(now),
		budgets:  newBudgets(settings.RetryPart, settings.RetryWindow),
		patience: newPatience(),
		peers: &http.Client{
			Transport: boundedTransport{
				&http.Transport{
					MaxIdleConns:           2,
					IdleConnTimeout:        wholeTimeout,
					MaxResponseHeaderBytes: peerHeadMost,
				},
			},
		},
		crews: mtsteer.Crews{
			Started: now,
		},
		opening: mtopening.Opening{
			Started:  now,
			Capacity: settings.Capacity,
			First:    settings.First,
		},
		steerWake: make(chan struct{}, 1),
		meetPause: meetFirst,
		met:       now,
		registry:  mtregistry.NewRegistry(),
		targets:   map[string]*mtplacer.Target{},
		placers:   map[string]*mtplacer.Placer{},
		seats:     map[uint64]*seat{},
		wakes:     map[string]time.Time{},

		unreadRests: map[string]bool{},
	}
	gateway.current.Store(settings)
	gateway.addGauges()
	return gateway, gateway.listen(directory, now)
}

func (g *Gateway) listen(directory Directory, now time.Time) error {
	var err error
	g.calls, err = mtingress.NewServer(g.settings().Calls, g, g.limits)
	if err != nil {
		return err
	}
	g.mesh, err = mtmesh.NewMesh(&peerv1.Row{
		Instance:    g.settings().Instance,
		Incarnation: max(1, rand.Uint64()),
		Epoch:       uint64(now.UnixMilli()),
		Centre:      g.settings().Centre,
		Calls:       g.settings().Calls,
		Mesh:        g.settings().Mesh,
		Capacity:    float32(g.settings().Capacity),
	}, g.settings().Seeds, g, g.logger)
	if err != nil {
		return err
	}
	pages := directory(g.addresses, g.isReady)
	handlers := map[string]http.Handler{
		g.settings().Directory: pages,
		g.settings().Ready:     pages,
		g.settings().Mesh:      g.peersHandler(),
	}
	if g.settings().Metrics != "" {
		handlers[g.settings().Metrics] = g.metricsHandler()
	}
	for address, handler := range handlers {
		if err := g.listenPage(address, handler); err != nil {
			return err
		}
	}
	return nil
}

func (g *Gateway) addGauges() {
	g.meter.gauge("mangotack_gateway_waiting_requests", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.seats))
	})
	g.meter.gauge("mangotack_gateway_endpoints", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(len(g.targets))
	})
	g.meter.gauge("mangotack_gateway_connections_total", func() float64 {
		return float64(g.pool.Dials())
	})
	for _, state := range []string{mtmember.Alive, mtmember.Suspect, mtmember.Dead, mtmember.Leaving} {
		g.meter.gauge(fmt.Sprintf(`mangotack_gateway_members{state=%q}`, state), func() float64 {
			return float64(g.mesh.Count(state, time.Now()))
		})
	}
	for name, lines := range map[string]importance{
		"ordinary": ordinary,
		"failure":  failure,
	} {
		g.meter.gauge(fmt.Sprintf(`mangotack_gateway_lines_left_out_total{importance=%q}`, name), func() float64 {
			return float64(g.journal.leftOut(lines))
		})
	}
	for _, f := range g.news.feeds {
		g.meter.gauge(`mangotack_gateway_news_age_seconds{feed="`+f.number.String()+`"}`, func() float64 {
			g.news.mu.Lock()
			defer g.news.mu.Unlock()
			return f.follower.Age(time.Now()).Seconds()
		})
	}
}

// CountDropped adds the number of log lines that were dropped to the metrics.
func (g *Gateway) CountDropped(read func() int64) {
	g.meter.gauge("mangotack_gateway_lines_dropped_total", func() float64 {
		return float64(read())
	})
}

func (g *Gateway) settings() *Settings {
	return g.current.Load()
}

// Reload brings new settings into force, except the addresses and the name, which hold until the next start.
func (g *Gateway) Reload(settings *Settings, now time.Time) {
	old := g.settings()
	fresh := *settings
	fresh.Instance, fresh.Centre = old.Instance, old.Centre
	fresh.Calls, fresh.Ready, fresh.Directory, fresh.Mesh = old.Calls, old.Ready, old.Directory, old.Mesh
	fresh.Metrics, fresh.Store = old.Metrics, old.Store
	g.current.Store(&fresh)
	g.budgets.setPart(fresh.RetryPart, fresh.RetryWindow)
	g.mesh.AddSeeds(fresh.Seeds, now)
	g.noticed()
	mtevent.SettingsReloaded.Log(g.logger, logrus.Fields{
		"later": old.Calls != settings.Calls || old.Store != settings.Store || old.Directory != settings.Directory,
	})
}

// limits returns what callers may send under the configuration in force.
func (g *Gateway) limits() mtingress.Limits {
	table := g.table.Load()
	if table == nil {
		return mtingress.Limits{}
	}
	return mtingress.Limits(table.Limits)
}

// isReady reports whether the instance has all that it needs to serve and does not leave.
func (g *Gateway) isReady() bool {
	return !g.leaving.Load() && g.isFilled()
}

// isFilled reports whether the instance knows the configuration and the endpoints.
func (g *Gateway) isFilled() bool {
	return g.haveEndpoints.Load() && g.table.Load() != nil
}

// expected returns how long a request should take at an idle endpoint.
func (g *Gateway) expected(service string, request *mtplacer.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.placer(service).Expected(request)
}

// Run serves until the context ends, then leaves without cutting off a request.
func (g *Gateway) Run(ctx context.Context) {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	mtevent.Started.Log(g.logger, logrus.Fields{
		"instance": g.settings().Instance,
		"calls":    g.settings().Calls,
	})
	go g.mesh.Run(background)
	for _, f := range g.news.feeds {
		go g.follow(background, f)
	}
	go g.steer(background)
	go g.sweep(background)
	go g.calls.Serve(func(err error) {
		g.logListenFailed(g.settings().Calls, err)
	})
	<-ctx.Done()
	g.leave()
	mtevent.Stopped.Log(g.logger, logrus.Fields{
		"unanswered": g.calls.Open(),
	})
}

// Close ends the pages of an instance that has left.
func (g *Gateway) Close() {
	for _, page := range g.pages {
		_ = page.Close()
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.pool.Sweep(now)
			g.forgetMarks(now)
			g.meet(ctx, now)
		}
	}
}

// leave sends callers elsewhere, takes what still arrives for a while, and finishes all requests.
func (g *Gateway) leave() {
	began := time.Now()
	mtevent.Stopping.Log(g.logger, logrus.Fields{
		"unanswered": g.calls.Open(),
	})
	g.leaving.Store(true)
	g.chooseRoles(began)
	g.mesh.Beat(began)
	g.calls.Leave()
	time.Sleep(g.settings().Stay)
	g.calls.Close()
	limit := began.Add(g.settings().Grace - graceMargin)
	for g.calls.Open() > 0 && time.Now().Before(limit) {
		time.Sleep(leaveCheck)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	g.calls.Wait(ctx)
}
