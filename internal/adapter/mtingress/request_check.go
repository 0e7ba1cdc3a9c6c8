package mtingress

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkHeader returns the refusal of a request with a field that HTTP/1.1 does not allow, or nil. http.ReadRequest accepts
// blanks in field names, so that "Content-Length : 3" leaves a body to be read as the next request, and control bytes in
// values.
func checkHeader(request *http.Request) *Response {
	for name, values := range request.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return withConnectionClose(NewResponse(http.StatusBadRequest, http.Header{}, []byte("invalid field name\n")))
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return withConnectionClose(NewResponse(http.StatusBadRequest, http.Header{}, []byte("invalid field value\n")))
			}
		}
	}
	return nil
}
