package mtoperator

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	publishTries = 3
	forcePeriod  = 200 * time.Millisecond
)

// Client speaks to the control address of one entry instance.
type Client struct {
	service entryv1connect.OperatorServiceClient
	token   string
}

// NewClient returns a client for the control address of an entry instance.
func NewClient(address, token string) *Client {
	return &Client{
		service: entryv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+address),
		token:   token,
	}
}

func authorized[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	mtauth.SetBearer(request.Header(), c.token)
	return request
}

// Status returns the state that the entry instance sees.
func (c *Client) Status(ctx context.Context) (*entryv1.StatusResponse, error) {
	answer, err := c.service.Status(ctx, authorized(c, &entryv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// Complete gives a record its id and the version that it amends; unchanged is true when it is in force already.
func (c *Client) Complete(record *recordv1.Record, versions []*recordv1.Version) (unchanged bool) {
	record.Id = strings.ToLower(rand.Text())
	version := Present(versions, mtrecord.Key(record))
	if version == nil {
		return false
	}
	record.Amends = version.GetNumber()
	present := proto.CloneOf(version.GetRecord())
	present.Id, present.Amends = record.GetId(), record.GetAmends()
	return proto.Equal(present, record)
}

// Publish publishes a completed record; after a lost answer it publishes the same record again, which counts once.
func (c *Client) Publish(ctx context.Context, record *recordv1.Record) (*entryv1.PublishResponse, error) {
	for try := 1; ; try++ {
		answer, err := c.service.Publish(ctx, authorized(c, &entryv1.PublishRequest{
			Record: record,
		}))
		if err == nil {
			return answer.Msg, nil
		}
		if connect.CodeOf(err) != connect.CodeUnavailable || try == publishTries {
			return nil, err
		}
	}
}

// Wait calls progress until the log up to an offset is in force at all instances.
func (c *Client) Wait(ctx context.Context, offset uint64, progress func(*entryv1.ForceResponse)) error {
	for {
		answer, err := c.service.Force(ctx, authorized(c, &entryv1.ForceRequest{
			Offset: offset,
		}))
		if err != nil {
			return err
		}
		progress(answer.Msg)
		if answer.Msg.GetApplied() == answer.Msg.GetTotal() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(forcePeriod):
		}
	}
}
