package mtingress

import (
	"io"
	"net/http"
	"time"
)

// Call is one request with its whole body.
type Call struct {
	Request *http.Request
	Body    []byte
	Arrived time.Time
	// Prior is closed when the requests before this one on its connection are answered.
	Prior <-chan struct{}
}

// Answer is what the caller gets.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest holds what follows Body in a long answer, or is nil; the connection is cut when it ends with an error.
	Rest io.ReadCloser
	// Length is the length of body and rest together, or -1 when it is not known.
	Length int64
	// Written is called once with whether the whole answer was written; it may be nil.
	Written func(whole bool)
}

// NewAnswer returns an answer with a body of a known length.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{
		Status: status,
		Header: header,
		Body:   body,
		Length: int64(len(body)),
	}
}
