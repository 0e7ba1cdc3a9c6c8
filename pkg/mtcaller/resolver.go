package mtcaller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
)

// resolveTimeout bounds one question to one entry instance.
const resolveTimeout = time.Second

// resolver asks which entry instances to use and holds the answers.
type resolver struct {
	client *Client
	mu     sync.Mutex
	held   map[string]held
}

type held struct {
	targets []target
	until   time.Time
}

// target is one entry instance that carries a service.
type target struct {
	address string
	centre  string
	ticket  string
}

func newResolver(client *Client) *resolver {
	return &resolver{
		client: client,
		held:   map[string]held{},
	}
}

// pick returns the instance for an attempt: for the first a random one of the own data centre, then the others in order.
func (r *resolver) pick(ctx context.Context, service string, attempt int) (target, error) {
	targets, err := r.targets(ctx, service)
	if err != nil {
		return target{}, err
	}
	near := 0
	for near < len(targets) && targets[near].centre == targets[0].centre {
		near++
	}
	if attempt == 0 {
		return targets[rand.IntN(near)], nil
	}
	return targets[attempt%len(targets)], nil
}

// other returns an instance that is not the given one.
func (r *resolver) other(ctx context.Context, service string, home target) (target, error) {
	targets, err := r.targets(ctx, service)
	if err != nil {
		return target{}, err
	}
	for _, candidate := range targets {
		if candidate.address != home.address {
			return candidate, nil
		}
	}
	return target{}, NoEntry.New("no other entry instance carries %s", service)
}

func (r *resolver) forget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, service)
}

func (r *resolver) targets(ctx context.Context, service string) ([]target, error) {
	r.mu.Lock()
	found, known := r.held[service]
	r.mu.Unlock()
	if known && time.Now().Before(found.until) {
		return found.targets, nil
	}
	return r.ask(ctx, service)
}

// ask tries the entry instances in a random order until one answers.
func (r *resolver) ask(ctx context.Context, service string) ([]target, error) {
	last := error(NoEntry.New("no entry instance is configured"))
	for _, index := range rand.Perm(len(r.client.entries)) {
		answer, err := r.askOne(ctx, r.client.entries[index], service)
		if isFinal(err) {
			return nil, Forbidden.Wrap(err, "service %s", service)
		}
		if err != nil {
			last = NoEntry.Wrap(err, "no entry instance told who carries %s", service)
			continue
		}
		targets := make([]target, 0, len(answer.GetAddresses()))
		for _, address := range answer.GetAddresses() {
			targets = append(targets, target{
				address: address.GetCalls(),
				centre:  address.GetCentre(),
				ticket:  address.GetTicket(),
			})
		}
		if len(targets) == 0 {
			last = NoEntry.New("no entry instance carries %s", service)
			continue
		}
		r.hold(service, targets, answer.GetHold().AsDuration())
		return targets, nil
	}
	return nil, last
}

func isFinal(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodePermissionDenied || code == connect.CodeUnauthenticated)
}

func (r *resolver) askOne(ctx context.Context, address, service string) (*entryv1.ResolveResponse, error) {
	limited, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request := connect.NewRequest(&entryv1.ResolveRequest{
		Service: service,
		Centre:  r.client.centre,
	})
	request.Header().Set("Authorization", "Bearer "+r.client.token)
	answer, err := entryv1connect.NewResolveServiceClient(r.client.http, r.client.scheme+"://"+address).Resolve(limited, request)
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

func (r *resolver) hold(service string, targets []target, life time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held[service] = held{
		targets: targets,
		until:   time.Now().Add(life),
	}
}
