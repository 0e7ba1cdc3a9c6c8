package mtheader

import (
	"net/http"
	"strings"
)

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

// CopyEndToEnd copies all headers but those that belong to one connection.
func CopyEndToEnd(to, from http.Header) {
	named := map[string]bool{}
	for _, line := range from["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHop[name] && !named[name] {
			to[name] = values
		}
	}
}
