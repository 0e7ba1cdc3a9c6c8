package mtresolver

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/core/mtcrew"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
)

// rules gives the rules in force.
type rules interface {
	Rules() *mtrules.Rules
	IsReady() bool
}

// crews gives the entry instances that carry a service.
type crews interface {
	Crew(service string, now time.Time) []mtcrew.Place
	Row(instance string) *peerv1.Row
}

// keys gives the life of tickets.
type keys interface {
	Expiry(now time.Time) time.Time
}

// Resolver implements the ResolveService.
type Resolver struct {
	rules  rules
	crews  crews
	keys   keys
	centre string
	hold   time.Duration
}

// NewResolver returns a resolver whose answers may be held for a time; centre is that of callers that name none.
func NewResolver(rules rules, crews crews, keys keys, centre string, hold time.Duration) *Resolver {
	return &Resolver{
		rules:  rules,
		crews:  crews,
		keys:   keys,
		centre: centre,
		hold:   hold,
	}
}

// Resolve returns the addresses of the service's crew, those of the caller's data centre first.
func (r *Resolver) Resolve(_ context.Context, request *connect.Request[entryv1.ResolveRequest]) (*connect.Response[entryv1.ResolveResponse], error) {
	if !r.rules.IsReady() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this instance has not read the contracts yet"))
	}
	if err := r.check(request); err != nil {
		return nil, err
	}
	centre := request.Msg.GetCentre()
	if centre == "" {
		centre = r.centre
	}
	now := time.Now()
	expiry := r.keys.Expiry(now)
	answer := &entryv1.ResolveResponse{
		Hold: durationpb.New(r.hold),
	}
	for _, member := range mtcrew.Order(r.crews.Crew(request.Msg.GetService(), now), centre) {
		if row := r.crews.Row(member.Name); row != nil {
			answer.Addresses = append(answer.Addresses, address(row, expiry))
		}
	}
	return connect.NewResponse(answer), nil
}

func (r *Resolver) check(request *connect.Request[entryv1.ResolveRequest]) error {
	rules := r.rules.Rules()
	token, _ := mtauth.Bearer(request.Header())
	customer, team, known := rules.Team(token)
	if !known {
		return connect.NewError(connect.CodeUnauthenticated, errors.New("header Authorization: expected Bearer and a team's token"))
	}
	if !rules.MayCall(customer, team, request.Msg.GetService()) {
		return connect.NewError(connect.CodePermissionDenied, errors.New("service: the team is not approved for it"))
	}
	return nil
}

func address(row *peerv1.Row, expiry time.Time) *entryv1.Address {
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
