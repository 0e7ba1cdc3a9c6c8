package mtoperator

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/adapter/mtauth"
	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	entryv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/entry/v1/entryv1connect"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	maxPublishAttempts = 3
	forcePollInterval  = 200 * time.Millisecond
)

// Client calls the operator service of one entry instance.
type Client struct {
	service entryv1connect.OperatorServiceClient
	token   string
}

// NewClient returns a client for an entry instance's control address, which authenticates with the token.
func NewClient(address, token string) *Client {
	return &Client{
		service: entryv1connect.NewOperatorServiceClient(mtresponseguard.NewClient(), "http://"+address),
		token:   token,
	}
}

// newRequest returns a request that carries the token of the client.
func newRequest[T any](c *Client, message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	mtauth.SetBearerToken(request.Header(), c.token)
	return request
}

// Status returns the state of the instances, endpoints and records as the entry instance knows it.
func (c *Client) Status(ctx context.Context) (*entryv1.StatusResponse, error) {
	response, err := c.service.Status(ctx, newRequest(c, &entryv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// PrepareRecord sets the record's id to a new random one, and the version that it amends to the one in force if versions has
// one for its key. It reports whether the record equals the version in force apart from these fields.
func (c *Client) PrepareRecord(record *recordv1.Record, versions []*recordv1.Version) (unchanged bool) {
	record.Id = strings.ToLower(rand.Text())
	version := CurrentVersion(versions, mtrecord.Key(record))
	if version == nil {
		return false
	}
	record.Amends = version.GetNumber()
	current := proto.CloneOf(version.GetRecord())
	current.Id, current.Amends = record.GetId(), record.GetAmends()
	return proto.Equal(current, record)
}

// Publish publishes a record that [Client.Complete] has prepared. It retries when the service is unavailable or its
// response was lost; a record that an earlier attempt appended takes effect only once, because it keeps its id.
func (c *Client) Publish(ctx context.Context, record *recordv1.Record) (*entryv1.PublishResponse, error) {
	for attempt := 1; ; attempt++ {
		response, err := c.service.Publish(ctx, newRequest(c, &entryv1.PublishRequest{
			Record: record,
		}))
		if err == nil {
			return response.Msg, nil
		}
		if connect.CodeOf(err) != connect.CodeUnavailable || attempt == maxPublishAttempts {
			return nil, err
		}
	}
}

// WaitInForce polls until the log up to an offset is in force at all instances, and passes each response to progress.
func (c *Client) WaitInForce(ctx context.Context, offset uint64, progress func(*entryv1.ForceResponse)) error {
	for {
		response, err := c.service.Force(ctx, newRequest(c, &entryv1.ForceRequest{
			Offset: offset,
		}))
		if err != nil {
			return err
		}
		progress(response.Msg)
		if response.Msg.GetApplied() == response.Msg.GetTotal() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(forcePollInterval):
		}
	}
}
