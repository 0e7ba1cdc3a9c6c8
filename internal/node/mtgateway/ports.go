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

// Store reads and writes the feeds of the platform.
type Store interface {
	Newest(ctx context.Context, feed mtnews.Feed) (mtnews.Batch, error)
	Read(ctx context.Context, feed mtnews.Feed, from uint64, wait time.Duration) (mtnews.Batch, error)
	Append(ctx context.Context, feed mtnews.Feed, key string, value []byte) error
}

// Exchange reads and writes what calls and answers state beside their bytes.
type Exchange interface {
	ReadCall(header http.Header) (attempt string, wait time.Duration)
	MarkCall(header http.Header, endpoint string, left time.Duration)
	ReadAnswer(status int, header http.Header) mtexchange.Stated
}

// Formats decodes the records of the feeds.
type Formats interface {
	// Configuration returns the routes that a change brings; found is false when it concerns something else.
	Configuration(change mtnews.Change) (table *mtroute.Table, found bool, err error)
	// Endpoint returns the entry of an endpoint.
	Endpoint(change mtnews.Change) (mtregistry.Entry, error)
}

// Directory builds the pages on which callers ask where to connect, and checks ask whether the instance is ready.
type Directory func(addresses func(host, centre string) ([]string, time.Duration), ready func() bool) http.Handler
