package mtpool

import "strings"

// unprocessedTexts are parts of the texts of net/http's errors for unprocessed requests. net/http does not export these
// errors. A test that answers with raw HTTP/2 frames checks each text.
var unprocessedTexts = []string{
	"REFUSED_STREAM; received from peer",
	"http2: Transport received Server's graceful shutdown GOAWAY",
}

// IsUnprocessed reports whether the endpoint stated in HTTP/2 that it did not process the request.
//
// RFC 9113 lets an endpoint send REFUSED_STREAM, or a GOAWAY whose last stream is below the request's, only before any
// processing.
func IsUnprocessed(err error) bool {
	if err == nil {
		return false
	}
	for _, text := range unprocessedTexts {
		if strings.Contains(err.Error(), text) {
			return true
		}
	}
	return false
}
