package mtgateway

import (
	"context"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtregistry"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	"github.com/mangotack/mangotack/internal/core/mtresponse"
	"github.com/mangotack/mangotack/internal/core/mtroute"
)

// Store reads and writes the feeds of the platform's store.
type Store interface {
	ReadNewest(ctx context.Context, feed mtreplication.Feed) (mtreplication.Batch, error)
	Read(ctx context.Context, feed mtreplication.Feed, fromOffset uint64, wait time.Duration) (mtreplication.Batch, error)
	Append(ctx context.Context, feed mtreplication.Feed, key string, value []byte) error
}

// HeaderCodec reads and writes the headers by which calls and answers carry metadata.
type HeaderCodec interface {
	ParseRequestHeader(header http.Header) (attemptID string, timeout time.Duration)
	SetRequestHeader(header http.Header, endpoint string, remaining time.Duration)
	// TakeKeys returns the values of the header that carries the key of a tenant, and removes it.
	TakeKeys(header http.Header) []string
	// SetTenant sets the header with the tenant of a request, or removes it if the name is empty.
	SetTenant(header http.Header, tenant string)
	ParseResponseHeader(status int, header http.Header) mtresponse.Metadata
}

// RecordDecoder decodes the records of the feeds.
type RecordDecoder interface {
	// DecodeConfiguration returns the routes in a change; found is false when the change has another subject.
	DecodeConfiguration(change mtreplication.Change) (table *mtroute.Table, found bool, err error)
	// DecodeEvacuation returns the zone whose evacuation a change of the configuration feed begins or ends; found is false
	// when the change has another subject.
	DecodeEvacuation(change mtreplication.Change) (zone string, found bool)
	// DecodeEndpoint returns the entry of an endpoint.
	DecodeEndpoint(change mtreplication.Change) (mtregistry.Entry, error)
}

// DirectoryHandlerFactory builds the handler of the directory, by which callers learn where to connect, and of the readiness check.
type DirectoryHandlerFactory func(addresses func(host, centre string) ([]string, time.Duration), ready func() bool) http.Handler
