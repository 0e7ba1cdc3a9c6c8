package mtfakeplatform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

// InstanceList is an instance list in which changes become visible only after a lag.
type InstanceList struct {
	lag time.Duration
	mu  sync.Mutex
	// pending are the changes that are not yet visible, in the order of the calls of Put.
	pending []pendingChange
	visible map[string]*platformv1.Instance
	// names are the names of the visible instances in the order of their first appearance.
	names []string
}

type pendingChange struct {
	madeAt   time.Time
	instance *platformv1.Instance
}

// NewInstanceList returns an empty list with the given lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{
		lag:     lag,
		visible: map[string]*platformv1.Instance{},
	}
}

// Put adds or replaces an instance, which becomes visible the lag after now. Initial instances are put with the zero
// time and are visible at once.
func (l *InstanceList) Put(instance *platformv1.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{
		madeAt:   now,
		instance: instance,
	})
}

// List returns the visible instances.
func (l *InstanceList) List(
	_ context.Context, _ *connect.Request[platformv1.ListRequest],
) (*connect.Response[platformv1.ListResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.pending) > 0 && now.Sub(l.pending[0].madeAt) >= l.lag {
		instance := l.pending[0].instance
		if l.visible[instance.GetName()] == nil {
			l.names = append(l.names, instance.GetName())
		}
		l.visible[instance.GetName()] = instance
		l.pending = l.pending[1:]
	}
	response := &platformv1.ListResponse{}
	for _, name := range l.names {
		response.Instances = append(response.Instances, proto.CloneOf(l.visible[name]))
	}
	return connect.NewResponse(response), nil
}
