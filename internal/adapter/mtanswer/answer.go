package mtanswer

import (
	"net/http"
	"strings"

	"github.com/mangotack/mangotack/internal/core/mtcall"
)

// The gRPC codes in which an endpoint states that it could not serve.
const (
	grpcInternal    = "13"
	grpcUnavailable = "14"
	grpcStatus      = "Grpc-Status"
)

// Answer is an endpoint's response; Finish must be called once.
type Answer struct {
	Response *http.Response
	// Finish ends the attempt; whole is set when the whole answer was read.
	Finish func(whole bool)
}

// IsFailure reports whether the endpoint states that it could not serve the call.
func (a *Answer) IsFailure() bool {
	status := a.Response.StatusCode
	code := a.Response.Header.Get(grpcStatus)
	return status >= http.StatusInternalServerError || code == grpcInternal || code == grpcUnavailable
}

// IsRetryable reports whether the endpoint states that another may serve the call.
func (a *Answer) IsRetryable() bool {
	switch a.Response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return a.Response.Header.Get(grpcStatus) == grpcUnavailable
	}
}

// IsDeeper reports whether the failure comes from a service that the endpoint called.
func (a *Answer) IsDeeper() bool {
	return a.Response.Header.Get(mtcall.FailedHeader) != ""
}

// IsComplete reports whether the trailers that the protocol needs have come; the body must have been read.
func (a *Answer) IsComplete() bool {
	if !strings.HasPrefix(a.Response.Header.Get("Content-Type"), "application/grpc") {
		return true
	}
	if strings.HasPrefix(a.Response.Header.Get("Content-Type"), "application/grpc-web") {
		return true
	}
	return a.Response.Trailer.Get(grpcStatus) != "" || a.Response.Header.Get(grpcStatus) != ""
}
