package mtpool

import "strings"

// net/http does not export these errors, so their texts are compared; a test with a raw endpoint pins each of them.
var refusals = []string{
	"REFUSED_STREAM; received from peer",
	"http2: Transport received Server's graceful shutdown GOAWAY",
}

// IsRefused reports whether the endpoint stated in HTTP/2 that it did not process the request.
//
// RFC 9113 lets an endpoint send REFUSED_STREAM, or a GOAWAY with a last stream below the request's, only before any
// processing.
func IsRefused(err error) bool {
	if err == nil {
		return false
	}
	for _, refusal := range refusals {
		if strings.Contains(err.Error(), refusal) {
			return true
		}
	}
	return false
}
