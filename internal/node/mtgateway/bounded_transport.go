package mtgateway

import (
	"net/http"
)

const (
	// maxPeerHeaderBytes and maxPeerBodyBytes bound a response of another instance; the longest one is a full feed,
	// compressed.
	maxPeerHeaderBytes = 16 << 10
	maxPeerBodyBytes   = 8 << 20
)

// boundedTransport limits the body of each response to maxPeerBodyBytes. Reading a longer body fails, so that its start
// is not taken for the whole.
type boundedTransport struct {
	next http.RoundTripper
}

// RoundTrip sends one request.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err == nil {
		response.Body = http.MaxBytesReader(nil, response.Body, maxPeerBodyBytes)
	}
	return response, err
}
