package mtanswer

import (
	"net/http"
	"strings"

	"github.com/mangotack/mangotack/internal/core/mtcall"
)

// The gRPC status codes that report a failure of the endpoint, and the header that carries the code.
const (
	grpcInternal     = "13"
	grpcUnavailable  = "14"
	grpcStatusHeader = "Grpc-Status"
)

// Answer is the response of an endpoint to one attempt; Finish must be called once.
type Answer struct {
	Response *http.Response
	// Finish ends the attempt; complete reports whether the whole response was read.
	Finish func(complete bool)
}

// IsFailure reports whether the response is an HTTP status of 500 or above or the gRPC status Internal or Unavailable.
func (a *Answer) IsFailure() bool {
	status := a.Response.StatusCode
	code := a.Response.Header.Get(grpcStatusHeader)
	return status >= http.StatusInternalServerError || code == grpcInternal || code == grpcUnavailable
}

// IsRetryable reports whether the status means that another endpoint may be able to serve the call.
func (a *Answer) IsRetryable() bool {
	switch a.Response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return a.Response.Header.Get(grpcStatusHeader) == grpcUnavailable
	}
}

// IsDownstreamFailure reports whether the failure comes from a downstream service that the endpoint called.
func (a *Answer) IsDownstreamFailure() bool {
	return a.Response.Header.Get(mtcall.FailedServiceHeader) != ""
}

// HasRequiredStatus reports whether the response has the status that gRPC requires in its trailers or, without a body, in its
// headers; other protocols require none. The body must have been read.
func (a *Answer) HasRequiredStatus() bool {
	if !strings.HasPrefix(a.Response.Header.Get("Content-Type"), "application/grpc") {
		return true
	}
	if strings.HasPrefix(a.Response.Header.Get("Content-Type"), "application/grpc-web") {
		return true
	}
	return a.Response.Trailer.Get(grpcStatusHeader) != "" || a.Response.Header.Get(grpcStatusHeader) != ""
}
