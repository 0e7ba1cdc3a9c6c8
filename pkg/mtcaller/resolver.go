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

// resolveTimeout bounds one Resolve call to one entry instance.
const resolveTimeout = time.Second

// resolver resolves which entry instances serve a service and caches the result.
type resolver struct {
	client *Client
	mu     sync.Mutex
	cache  map[string]cachedTargets
}

type cachedTargets struct {
	targets []target
	expiry  time.Time
}

// target is one entry instance that serves a service.
type target struct {
	address string
	centre  string
	ticket  string
}

func newResolver(client *Client) *resolver {
	return &resolver{
		client: client,
		cache:  map[string]cachedTargets{},
	}
}

// pick returns the instance for an attempt, counted from 0. The first attempt goes to a random instance of the data
// centre that Resolve lists first, the caller's own if it has any; later attempts go through the list in order.
func (r *resolver) pick(ctx context.Context, service string, attempt int) (target, error) {
	targets, err := r.targets(ctx, service)
	if err != nil {
		return target{}, err
	}
	preferredCount := 0
	for preferredCount < len(targets) && targets[preferredCount].centre == targets[0].centre {
		preferredCount++
	}
	if attempt == 0 {
		return targets[rand.IntN(preferredCount)], nil
	}
	return targets[attempt%len(targets)], nil
}

// alternative returns an instance with another address than the excluded one.
func (r *resolver) alternative(ctx context.Context, service string, excluded target) (target, error) {
	targets, err := r.targets(ctx, service)
	if err != nil {
		return target{}, err
	}
	for _, candidate := range targets {
		if candidate.address != excluded.address {
			return candidate, nil
		}
	}
	return target{}, NoEntry.New("no other entry instance serves %s", service)
}

// invalidate removes a service from the cache.
func (r *resolver) invalidate(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cache, service)
}

// targets returns the instances that serve a service, from the cache until its entry expires.
func (r *resolver) targets(ctx context.Context, service string) ([]target, error) {
	r.mu.Lock()
	cached, known := r.cache[service]
	r.mu.Unlock()
	if known && time.Now().Before(cached.expiry) {
		return cached.targets, nil
	}
	return r.resolve(ctx, service)
}

// resolve asks the configured entry instances in random order until one returns targets, and caches these. An instance
// that denies access ends the search.
func (r *resolver) resolve(ctx context.Context, service string) ([]target, error) {
	lastErr := error(NoEntry.New("no entry instance is configured"))
	for _, index := range rand.Perm(len(r.client.entryAddresses)) {
		response, err := r.resolveAt(ctx, r.client.entryAddresses[index], service)
		if isAccessDenied(err) {
			return nil, Forbidden.Wrap(err, "access to service %s is denied", service)
		}
		if err != nil {
			lastErr = NoEntry.Wrap(err, "no entry instance resolved service %s", service)
			continue
		}
		targets := make([]target, 0, len(response.GetAddresses()))
		for _, address := range response.GetAddresses() {
			targets = append(targets, target{
				address: address.GetCalls(),
				centre:  address.GetCentre(),
				ticket:  address.GetTicket(),
			})
		}
		if len(targets) == 0 {
			lastErr = NoEntry.New("no entry instance serves %s", service)
			continue
		}
		r.store(service, targets, response.GetHold().AsDuration())
		return targets, nil
	}
	return nil, lastErr
}

// isAccessDenied reports whether the token is unknown or its team may not call the service.
func isAccessDenied(err error) bool {
	code := connect.CodeOf(err)
	return err != nil && (code == connect.CodePermissionDenied || code == connect.CodeUnauthenticated)
}

// resolveAt asks one entry instance which instances serve a service.
func (r *resolver) resolveAt(ctx context.Context, address, service string) (*entryv1.ResolveResponse, error) {
	callContext, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request := connect.NewRequest(&entryv1.ResolveRequest{
		Service: service,
		Centre:  r.client.centre,
	})
	request.Header().Set("Authorization", "Bearer "+r.client.token)
	response, err := entryv1connect.NewResolveServiceClient(r.client.http, r.client.scheme+"://"+address).
		Resolve(callContext, request)
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// store caches the targets of a service for a duration.
func (r *resolver) store(service string, targets []target, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cache[service] = cachedTargets{
		targets: targets,
		expiry:  time.Now().Add(ttl),
	}
}
