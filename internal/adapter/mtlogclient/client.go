package mtlogclient

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtresponseguard"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	"github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1/platformv1connect"
)

const (
	// maxEntriesPerRead bounds the entries of one read.
	maxEntriesPerRead = 500
	// readTimeout bounds a read, in addition to the time that it waits for an entry.
	readTimeout = 5 * time.Second
)

// Client appends to one stream of the log and reads it; it is safe for concurrent use.
type Client struct {
	service platformv1connect.LogServiceClient
	stream  string
}

// NewClient returns a client of a stream of the log at address, an IP address with a port.
func NewClient(address, stream string) *Client {
	httpClient := &http.Client{
		Transport: mtresponseguard.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: 4,
		}),
	}
	return &Client{
		service: platformv1connect.NewLogServiceClient(httpClient, "http://"+address),
		stream:  stream,
	}
}

// Append appends a message and returns its offset; after an error the message may or may not be in the log.
func (c *Client) Append(ctx context.Context, message proto.Message) (uint64, error) {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0, err
	}
	response, err := c.service.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{
		Stream: c.stream,
		Data:   data,
	}))
	if err != nil {
		return 0, err
	}
	return response.Msg.GetOffset(), nil
}

// Read returns the entries from an offset on; when there are none yet, it waits up to wait for the first one.
func (c *Client) Read(ctx context.Context, from uint64, wait time.Duration) (*platformv1.ReadResponse, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	response, err := c.service.Read(readCtx, connect.NewRequest(&platformv1.ReadRequest{
		Stream: c.stream,
		From:   from,
		Limit:  maxEntriesPerRead,
		Wait:   durationpb.New(wait),
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// NextOffset returns the offset that the next append gets.
func (c *Client) NextOffset(ctx context.Context) (uint64, error) {
	response, err := c.Read(ctx, ^uint64(0), 0)
	return response.GetNext(), err
}
