package mtstandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	standinv1 "github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1"
	"github.com/mangotack/mangotack/internal/gen/mangotack/standin/v1/standinv1connect"
	"github.com/mangotack/mangotack/internal/standin/mtfakeendpoint"
	"github.com/mangotack/mangotack/internal/standin/mtfakeplatform"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

// firstHostNumber is the last number of the IPv4 address of the first endpoint in a data centre.
const firstHostNumber = 10

// Standin is the stand-in for the platform and the endpoints of all pools.
type Standin struct {
	settings     *settingsv1.Standin
	log          *mtfakeplatform.Log
	instanceList *mtfakeplatform.InstanceList
	// servers are the endpoints by name.
	servers map[string]*mtfakeendpoint.Server
	// names are the names of the endpoints in the order of the pools.
	names []string
	// addresses are the addresses of the endpoints by name.
	addresses map[string]string
}

// NewStandin returns the stand-ins that the settings describe.
func NewStandin(settings *settingsv1.Standin) *Standin {
	standin := &Standin{
		settings:     settings,
		log:          mtfakeplatform.NewLog(settings.GetRetention().AsDuration()),
		instanceList: mtfakeplatform.NewInstanceList(settings.GetLag().AsDuration()),
		servers:      map[string]*mtfakeendpoint.Server{},
		addresses:    map[string]string{},
	}
	for _, pool := range settings.GetPools() {
		standin.addPool(pool)
	}
	return standin
}

// addPool adds the endpoints of a pool, distributed over the data centres in turn.
func (s *Standin) addPool(pool *settingsv1.Pool) {
	centres := s.settings.GetCentres()
	for i := range int(pool.GetServers()) {
		name := fmt.Sprintf("%s-%02d", pool.GetName(), i+1)
		centre := i % len(centres)
		s.servers[name] = mtfakeendpoint.NewServer(name, pool, s.settings)
		s.names = append(s.names, name)
		s.addresses[name] = fmt.Sprintf("127.0.%d.%d:%d", centre+1, firstHostNumber+i/len(centres), pool.GetPort())
		s.instanceList.Put(&platformv1.Instance{
			Name:    name,
			Service: pool.GetService(),
			Address: s.addresses[name],
			Centre:  centres[centre],
		}, time.Time{})
	}
}

// Run serves the platform and the endpoints until the context ends or a listener fails.
func (s *Standin) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogServiceHandler(s.log))
	mux.Handle(platformv1connect.NewInstanceListServiceHandler(s.instanceList))
	mux.Handle(standinv1connect.NewSwitchServiceHandler(s))
	group, ctx := errgroup.WithContext(ctx)
	serve(ctx, group, s.settings.GetPlatform(), &http.Server{
		Handler: mux,
	})
	for name, server := range s.servers {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		serve(ctx, group, s.addresses[name], &http.Server{
			Handler:     server,
			ConnContext: server.ConnContext,
			Protocols:   protocols,
		})
		group.Go(func() error {
			server.VarySlots(ctx)
			return nil
		})
	}
	return group.Wait()
}

// serve starts a server at an address; it closes when the context ends.
func serve(ctx context.Context, group *errgroup.Group, address string, server *http.Server) {
	group.Go(func() error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		stop := context.AfterFunc(ctx, func() {
			_ = server.Close()
		})
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// SetLog replaces the faults of the log.
func (s *Standin) SetLog(
	_ context.Context, request *connect.Request[standinv1.SetLogRequest],
) (*connect.Response[standinv1.SetLogResponse], error) {
	s.log.SetFaults(request.Msg.GetOut(), request.Msg.GetSlow().AsDuration(), request.Msg.GetLose())
	return connect.NewResponse(&standinv1.SetLogResponse{}), nil
}

// SetEndpoint replaces the faults of one endpoint.
func (s *Standin) SetEndpoint(
	_ context.Context, request *connect.Request[standinv1.SetEndpointRequest],
) (*connect.Response[standinv1.SetEndpointResponse], error) {
	server := s.servers[request.Msg.GetName()]
	if server == nil {
		return nil, connect.NewError(connect.CodeNotFound,
			fmt.Errorf("name: found %q, expected the name of an endpoint", request.Msg.GetName()))
	}
	server.SetFaults(request.Msg, time.Now())
	return connect.NewResponse(&standinv1.SetEndpointResponse{}), nil
}

// Report returns the counters of all endpoints.
func (s *Standin) Report(
	_ context.Context, request *connect.Request[standinv1.ReportRequest],
) (*connect.Response[standinv1.ReportResponse], error) {
	report := &standinv1.ReportResponse{}
	for _, name := range s.names {
		s.servers[name].Report(report, request.Msg.GetNonces())
	}
	return connect.NewResponse(report), nil
}
