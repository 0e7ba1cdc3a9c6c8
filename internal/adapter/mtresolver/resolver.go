package mtresolver

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/core/mtrendezvous"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// rulesSource provides the contracts and approvals in effect.
type rulesSource interface {
	Rules() *mtrules.Rules
	IsReady() bool
}

// instanceSource provides the entry instances that serve a service, and their rows.
type instanceSource interface {
	AssignedInstances(service string, now time.Time) []mtrendezvous.Node
	Row(instance string) *peerv1.Row
}

// ticketIssuer provides the expiry of new tickets.
type ticketIssuer interface {
	TicketExpiry(now time.Time) time.Time
}

// Resolver implements the ResolveService.
type Resolver struct {
	rules     rulesSource
	instances instanceSource
	tickets   ticketIssuer
	// defaultCentre is the data centre assumed for callers that name none.
	defaultCentre string
	// cacheTTL is how long a caller may cache a response.
	cacheTTL time.Duration
}

// NewResolver returns a resolver whose responses may be cached for cacheTTL; defaultCentre is the data centre assumed
// for callers that name none.
func NewResolver(
	rules rulesSource, instances instanceSource, tickets ticketIssuer, defaultCentre string, cacheTTL time.Duration,
) *Resolver {
	return &Resolver{
		rules:         rules,
		instances:     instances,
		tickets:       tickets,
		defaultCentre: defaultCentre,
		cacheTTL:      cacheTTL,
	}
}

// Resolve returns the addresses of the entry instances that serve a service, those in the caller's data centre first.
func (r *Resolver) Resolve(
	_ context.Context, request *connect.Request[entryv1.ResolveRequest],
) (*connect.Response[entryv1.ResolveResponse], error) {
	if !r.rules.IsReady() {
		return nil, connect.NewError(connect.CodeUnavailable,
			errors.New("this instance has not read the contracts yet"))
	}
	if err := r.authorize(request); err != nil {
		return nil, err
	}
	centre := request.Msg.GetCentre()
	if centre == "" {
		centre = r.defaultCentre
	}
	now := time.Now()
	expiry := r.tickets.TicketExpiry(now)
	response := &entryv1.ResolveResponse{
		Hold: durationpb.New(r.cacheTTL),
	}
	for _, place := range mtrendezvous.CentreFirst(r.instances.AssignedInstances(request.Msg.GetService(), now), centre) {
		if row := r.instances.Row(place.Name); row != nil {
			response.Addresses = append(response.Addresses, newAddress(row, expiry))
		}
	}
	return connect.NewResponse(response), nil
}

func (r *Resolver) authorize(request *connect.Request[entryv1.ResolveRequest]) error {
	rules := r.rules.Rules()
	token, _ := mtauth.BearerToken(request.Header())
	customer, team, known := rules.TeamByToken(token)
	if !known {
		return connect.NewError(connect.CodeUnauthenticated,
			errors.New("header Authorization: expected Bearer and a team's token"))
	}
	if !rules.MayCall(customer, team, request.Msg.GetService()) {
		return connect.NewError(connect.CodePermissionDenied, errors.New("service: the team is not approved for it"))
	}
	return nil
}

// newAddress returns the address of an instance with a ticket for at-most-once keys.
func newAddress(row *peerv1.Row, expiry time.Time) *entryv1.Address {
	ticket := mtticket.Ticket{
		Instance:    row.GetInstance(),
		Incarnation: row.GetIncarnation(),
		Expiry:      expiry,
	}
	return &entryv1.Address{
		Instance: row.GetInstance(),
		Calls:    row.GetCalls(),
		Centre:   row.GetCentre(),
		Ticket:   ticket.String(),
	}
}
