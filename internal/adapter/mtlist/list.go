package mtlist

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

const (
	// listTimeout bounds one read of the list.
	listTimeout = 3 * time.Second
	// minRefreshInterval is the time between two reads of a short list.
	minRefreshInterval = time.Second
	// maxBytesPerSecond bounds the average traffic that reads of a long list cause.
	maxBytesPerSecond = 2000
)

// List caches the instance list as last read; it is safe for concurrent use.
type List struct {
	client    platformv1connect.InstanceListServiceClient
	logger    *logrus.Logger
	mu        sync.Mutex
	instances []*platformv1.Instance
	// unreadable is set while reads fail, so that only the first failure is logged.
	unreadable bool
	// nextRefresh is when the list is read again.
	nextRefresh time.Time
}

// NewList returns an empty list that is read from the server at address, an IP address with a port.
func NewList(address string, logger *logrus.Logger) *List {
	httpClient := &http.Client{
		Transport: mtresponseguard.NewTransport(&http.Transport{}),
	}
	return &List{
		client: platformv1connect.NewInstanceListServiceClient(httpClient, "http://"+address),
		logger: logger,
	}
}

// RefreshIfDue reads the list if the next read is due; when the read fails, the list stays as it is.
//
// The platform returns only the whole list, so a long list is read less often. Marks of leaving instances are not
// delayed by that, because they come from the log.
func (l *List) RefreshIfDue(ctx context.Context, now time.Time) {
	l.mu.Lock()
	nextRefresh := l.nextRefresh
	l.mu.Unlock()
	if now.Before(nextRefresh) {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := l.client.List(listCtx, connect.NewRequest(&platformv1.ListRequest{}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.logUnreadable(ctx, err)
		return
	}
	if l.unreadable {
		l.unreadable = false
		mtevent.InstanceListReadable.Log(l.logger, logrus.Fields{})
	}
	l.instances = response.Msg.GetInstances()
	l.nextRefresh = now.Add(refreshInterval(proto.Size(response.Msg)))
}

// refreshInterval returns the time until the next read of a list of size bytes. Half of minRefreshInterval is
// subtracted, so that a periodic call of RefreshIfDue that comes a little early still reads the list.
func refreshInterval(size int) time.Duration {
	return max(minRefreshInterval, time.Duration(size)*time.Second/maxBytesPerSecond) - minRefreshInterval/2
}

func (l *List) logUnreadable(ctx context.Context, err error) {
	if l.unreadable || ctx.Err() != nil {
		return
	}
	l.unreadable = true
	mtevent.InstanceListUnreadable.Log(l.logger, logrus.Fields{
		"error": err.Error(),
	})
}

// InstancesOf returns the instances of one service.
func (l *List) InstancesOf(service string) []*platformv1.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var matching []*platformv1.Instance
	for _, instance := range l.instances {
		if instance.GetService() == service {
			matching = append(matching, instance)
		}
	}
	return matching
}
