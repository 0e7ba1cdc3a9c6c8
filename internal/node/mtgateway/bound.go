package mtgateway

import (
	"io"
	"net/http"
)

const (
	// peerHeadMost and peerBodyMost bound an answer of another instance, in bytes; the longest one is a whole feed, compressed.
	peerHeadMost = 16 << 10
	peerBodyMost = 8 << 20
)

// boundedTransport bounds the bodies of the answers that it returns.
type boundedTransport struct {
	next http.RoundTripper
}

// RoundTrip makes one call.
func (b boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(request)
	if err == nil {
		response.Body = boundedBody{
			Reader: io.LimitReader(response.Body, peerBodyMost),
			Closer: response.Body,
		}
	}
	return response, err
}

type boundedBody struct {
	io.Reader
	io.Closer
}
