package mtplatform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
)

// List is an instance list that shows changes only after a lag.
type List struct {
	lag     time.Duration
	mu      sync.Mutex
	changes []change
	shown   map[string]*platformv1.Instance
	order   []string
}

type change struct {
	at       time.Time
	instance *platformv1.Instance
}

// NewList returns an empty list.
func NewList(lag time.Duration) *List {
	return &List{
		lag:   lag,
		shown: map[string]*platformv1.Instance{},
	}
}

// Put adds or changes a line, to be shown after the lag; the first lines are put with a moment long ago.
func (l *List) Put(instance *platformv1.Instance, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{
		at:       now,
		instance: instance,
	})
}

// List returns the lines that are older than the lag.
func (l *List) List(_ context.Context, _ *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.changes) > 0 && now.Sub(l.changes[0].at) >= l.lag {
		instance := l.changes[0].instance
		if l.shown[instance.GetName()] == nil {
			l.order = append(l.order, instance.GetName())
		}
		l.shown[instance.GetName()] = instance
		l.changes = l.changes[1:]
	}
	answer := &platformv1.ListResponse{}
	for _, name := range l.order {
		answer.Instances = append(answer.Instances, proto.CloneOf(l.shown[name]))
	}
	return connect.NewResponse(answer), nil
}
