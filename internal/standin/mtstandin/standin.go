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
	"github.com/mangotack/mangotack/internal/standin/mtplatform"
	"github.com/mangotack/mangotack/internal/standin/mtworkserver"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

// firstHost is the last number of the IP number of the first endpoint in a data centre.
const firstHost = 10

// Standin is the platform with its endpoints.
type Standin struct {
	settings *settingsv1.Standin
	log      *mtplatform.Log
	list     *mtplatform.List
	servers  map[string]*mtworkserver.Server
	order    []string
	address  map[string]string
}

// NewStandin returns stand-ins as the settings describe them.
func NewStandin(settings *settingsv1.Standin) *Standin {
	standin := &Standin{
		settings: settings,
		log:      mtplatform.NewLog(settings.GetRetention().AsDuration()),
		list:     mtplatform.NewList(settings.GetLag().AsDuration()),
		servers:  map[string]*mtworkserver.Server{},
		address:  map[string]string{},
	}
	for _, pool := range settings.GetPools() {
		standin.addPool(pool)
	}
	return standin
}

func (s *Standin) addPool(pool *settingsv1.Pool) {
	centres := s.settings.GetCentres()
	for i := range int(pool.GetServers()) {
		name := fmt.Sprintf("%s-%02d", pool.GetName(), i+1)
		centre := i % len(centres)
		s.servers[name] = mtworkserver.NewServer(name, pool, s.settings)
		s.order = append(s.order, name)
		s.address[name] = fmt.Sprintf("127.0.%d.%d:%d", centre+1, firstHost+i/len(centres), pool.GetPort())
		s.list.Put(&platformv1.Instance{
			Name:    name,
			Service: pool.GetService(),
			Address: s.address[name],
			Centre:  centres[centre],
		}, time.Time{})
	}
}

// Run serves until the context ends.
func (s *Standin) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewLogServiceHandler(s.log))
	mux.Handle(platformv1connect.NewInstanceListServiceHandler(s.list))
	mux.Handle(standinv1connect.NewSwitchServiceHandler(s))
	group, ctx := errgroup.WithContext(ctx)
	serve(ctx, group, s.settings.GetPlatform(), &http.Server{
		Handler: mux,
	})
	for name, server := range s.servers {
		protocols := &http.Protocols{}
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		serve(ctx, group, s.address[name], &http.Server{
			Handler:     server,
			ConnContext: server.ConnContext,
			Protocols:   protocols,
		})
		group.Go(func() error {
			server.Shift(ctx)
			return nil
		})
	}
	return group.Wait()
}

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

// SetLog replaces the behaviour of the log.
func (s *Standin) SetLog(_ context.Context, request *connect.Request[standinv1.SetLogRequest]) (*connect.Response[standinv1.SetLogResponse], error) {
	s.log.SetFaults(request.Msg.GetOut(), request.Msg.GetSlow().AsDuration(), request.Msg.GetLose())
	return connect.NewResponse(&standinv1.SetLogResponse{}), nil
}

// SetEndpoint replaces the behaviour of one endpoint.
func (s *Standin) SetEndpoint(_ context.Context, request *connect.Request[standinv1.SetEndpointRequest]) (*connect.Response[standinv1.SetEndpointResponse], error) {
	server := s.servers[request.Msg.GetName()]
	if server == nil {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("name: found %q, expected the name of an endpoint", request.Msg.GetName()))
	}
	server.Set(request.Msg, time.Now())
	return connect.NewResponse(&standinv1.SetEndpointResponse{}), nil
}

// Report tells what the endpoints have seen.
func (s *Standin) Report(_ context.Context, request *connect.Request[standinv1.ReportRequest]) (*connect.Response[standinv1.ReportResponse], error) {
	report := &standinv1.ReportResponse{}
	for _, name := range s.order {
		s.servers[name].Report(report, request.Msg.GetNonces())
	}
	return connect.NewResponse(report), nil
}
