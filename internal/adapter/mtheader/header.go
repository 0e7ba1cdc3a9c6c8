package mtheader

import (
	"net/http"
	"strings"
)

// hopByHop holds the headers that apply to one connection only and are not forwarded.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// CopyEndToEnd copies all headers except the hop-by-hop headers and those that the Connection header names.
func CopyEndToEnd(target, source http.Header) {
	connectionOptions := map[string]bool{}
	for _, line := range source["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			connectionOptions[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range source {
		if !hopByHop[name] && !connectionOptions[name] {
			target[name] = values
		}
	}
}
