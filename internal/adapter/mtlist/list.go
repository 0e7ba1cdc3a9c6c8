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
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

const (
	listTimeout = 3 * time.Second
	// shortestPeriod is the time between two readings of a short list, and bytesPerSecond bounds what readings of a long
	// one cost.
	shortestPeriod = time.Second
	bytesPerSecond = 2000
)

// List is the last instance list that was read; it is safe for use by many goroutines.
type List struct {
	client platformv1connect.InstanceListServiceClient
	logger *logrus.Logger
	mu     sync.Mutex
	lines  []*platformv1.Instance
	lost   bool
	// due is when the list is read again.
	due time.Time
}

// NewList returns an empty list that reads from an IP number and port.
func NewList(address string, logger *logrus.Logger) *List {
	return &List{
		client: platformv1connect.NewInstanceListServiceClient(&http.Client{}, "http://"+address),
		logger: logger,
	}
}

// Refresh reads the list if it is due; when that fails, the last one stays.
//
// The platform gives only the whole list, so a long one is read less often; marks on the log need no list.
func (l *List) Refresh(ctx context.Context, now time.Time) {
	l.mu.Lock()
	due := l.due
	l.mu.Unlock()
	if now.Before(due) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	answer, err := l.client.List(limited, connect.NewRequest(&platformv1.ListRequest{}))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.reportLost(ctx, err)
		return
	}
	if l.lost {
		l.lost = false
		mtevent.InstanceListReadable.Log(l.logger, logrus.Fields{})
	}
	l.lines = answer.Msg.GetInstances()
	l.due = now.Add(period(proto.Size(answer.Msg)))
}

func period(size int) time.Duration {
	return max(shortestPeriod, time.Duration(size)*time.Second/bytesPerSecond) - shortestPeriod/2
}

func (l *List) reportLost(ctx context.Context, err error) {
	if l.lost || ctx.Err() != nil {
		return
	}
	l.lost = true
	mtevent.InstanceListUnreadable.Log(l.logger, logrus.Fields{
		"error": err.Error(),
	})
}

// Of returns the lines of one service.
func (l *List) Of(service string) []*platformv1.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []*platformv1.Instance
	for _, line := range l.lines {
		if line.GetService() == service {
			lines = append(lines, line)
		}
	}
	return lines
}
