package mtlogclient

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

const (
	batchLimit  = 500
	readTimeout = 5 * time.Second
)

// Client appends to one stream of the log and reads it; it is safe for use by many goroutines.
type Client struct {
	service platformv1connect.LogServiceClient
	stream  string
}

// NewClient returns a client of a stream of the log at an IP number and port.
func NewClient(address, stream string) *Client {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 4,
		},
	}
	return &Client{
		service: platformv1connect.NewLogServiceClient(client, "http://"+address),
		stream:  stream,
	}
}

// Append appends a message and returns its offset; after an error the message may or may not be on the log.
func (c *Client) Append(ctx context.Context, message proto.Message) (uint64, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0, err
	}
	answer, err := c.service.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{
		Stream: c.stream,
		Data:   data,
	}))
	if err != nil {
		return 0, err
	}
	return answer.Msg.GetOffset(), nil
}

// Read returns entries from an offset on, and waits for a first one.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error) {
	limited, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	answer, err := c.service.Read(limited, connect.NewRequest(&platformv1.ReadRequest{
		Stream: c.stream,
		From:   from,
		Limit:  batchLimit,
		Wait:   durationpb.New(wait),
	}))
	if err != nil {
		return nil, err
	}
	return answer.Msg, nil
}

// End returns the offset that the next append would get.
func (c *Client) End(ctx context.Context) (uint64, error) {
	answer, err := c.Read(ctx, ^uint64(0), 0)
	return answer.GetNext(), err
}
