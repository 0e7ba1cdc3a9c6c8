package mtresponse

import (
	"time"

	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// Metadata is the metadata that an endpoint sends with an answer.
type Metadata struct {
	// AttemptID is the ID of the attempt that the answer belongs to, or empty.
	AttemptID string
	// EndpointID is the ID of the endpoint, or empty.
	EndpointID string
	// NotRun is set when the endpoint states that it did not run the call.
	NotRun bool
	// Misdirected is set when the call reached another endpoint than the one that it names.
	Misdirected bool
	// Leaving is set when the endpoint states that it is shutting down.
	Leaving bool
	// RetryAfter is the time for which an endpoint that did not run the call asks for no further calls, or 0.
	RetryAfter time.Duration
	// InvalidRetryAfter is the text that the endpoint sent in place of a valid time, or empty.
	InvalidRetryAfter string
	// RequestLimit is the number of requests a second that the endpoint takes from all instances together; it is valid
	// when HasRequestLimit is set.
	RequestLimit    float64
	HasRequestLimit bool
	// InvalidRequestLimit is the text that the endpoint sent in place of a valid limit, or empty.
	InvalidRequestLimit string
	// WarmUpLeft is how much longer the endpoint is cold; it is valid when HasWarmUpLeft is set.
	WarmUpLeft    time.Duration
	HasWarmUpLeft bool
	// LoadReport is the load of the endpoint; it is valid when Reported is set.
	LoadReport    mtscheduler.LoadReport
	HasLoadReport bool
}
