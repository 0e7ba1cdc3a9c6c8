package mtingress

import (
	"io"
	"net/http"
	"time"
)

// Call is one request with its complete body.
type Call struct {
	Request *http.Request
	Body    []byte
	// Arrived is when the first byte of the request was available to read.
	Arrived time.Time
	// Prior is closed once all earlier requests on the connection are answered.
	Prior <-chan struct{}
}

// Answer is the response to a caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest reads what follows Body in a long response, or is nil. If it fails, the connection is closed.
	Rest io.ReadCloser
	// Length is the length of Body and Rest together in bytes, or -1 if it is unknown.
	Length int64
	// Written, if set, is called once, with whether the complete response was written.
	Written func(complete bool)
}

// NewAnswer returns a response whose body is complete.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{
		Status: status,
		Header: header,
		Body:   body,
		Length: int64(len(body)),
	}
}
