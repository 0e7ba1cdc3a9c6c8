package mtingress

import (
	"io"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtmemory"
)

// Call is one request with its complete body.
type Call struct {
	Request *http.Request
	// Body is the start of the body, and MoreBody what follows it: a large body is kept in pieces.
	Body     []byte
	MoreBody [][]byte
	// ArrivedAt is when the first byte of the request was available to read.
	ArrivedAt time.Time
	// PriorDone is closed once all earlier requests on the connection are answered.
	PriorDone <-chan struct{}
	// grant is the memory of the request, which is released when it is answered.
	grant mtmemory.Grant
}

// Response is the response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Remainder reads what follows Body in a long response, or is nil. If it fails, the connection is closed.
	Remainder io.ReadCloser
	// BodyLength is the length of Body and Rest together in bytes, or -1 if it is unknown.
	BodyLength int64
	// OnWritten, if set, is called once, with whether the complete response was written.
	OnWritten func(complete bool)
}

// NewResponse returns a response whose body is complete.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{
		Status:     status,
		Header:     header,
		Body:       body,
		BodyLength: int64(len(body)),
	}
}
