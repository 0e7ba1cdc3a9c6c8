package mtgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtexchange"
	"github.com/mangotack/mangotack/internal/core/mtnews"
	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtroute"
)

// Store reads and writes the feeds of the platform's store.
type Store interface {
	Newest(ctx context.Context, feed mtnews.Feed) (mtnews.Batch, error)
	Read(ctx context.Context, feed mtnews.Feed, fromOffset uint64, wait time.Duration) (mtnews.Batch, error)
	Append(ctx context.Context, feed mtnews.Feed, key string, value []byte) error
}

// Exchange reads and writes the headers by which calls and answers carry metadata.
type Exchange interface {
	ReadCall(header http.Header) (attemptID string, timeout time.Duration)
	MarkCall(header http.Header, endpoint string, remaining time.Duration)
	ReadAnswer(status int, header http.Header) mtexchange.Stated
}

// Formats decodes the records of the feeds.
type Formats interface {
	// Configuration returns the routes in a change; found is false when the change has another subject.
	Configuration(change mtnews.Change) (table *mtroute.Table, found bool, err error)
	// Endpoint returns the entry of an endpoint.
	Endpoint(change mtnews.Change) (mtregistry.Entry, error)
}

// Directory builds the handler of the directory, by which callers learn where to connect, and of the readiness check.
type Directory func(addresses func(host, centre string) ([]string, time.Duration), ready func() bool) http.Handler
