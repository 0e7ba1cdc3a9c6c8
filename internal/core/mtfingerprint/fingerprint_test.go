package mtfingerprint

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func newRequest(change func(request *http.Request)) *http.Request {
	request := &http.Request{
		Method:     http.MethodGet,
		Host:       "a.example",
		RequestURI: "/menu/1?x=2",
		RemoteAddr: "10.0.0.1:1",
		Header:     http.Header{"Attempt-Id": {"1"}},
	}
	change(request)
	return request
}

func TestEqualRequestsHaveOneFingerprint(t *testing.T) {
	first := Of(newRequest(func(*http.Request) {}), []byte("body"))
	require.Equal(t, first, Of(newRequest(func(request *http.Request) {
		request.RemoteAddr = "10.0.0.2:1"
		request.Header.Set("Attempt-Id", "2")
	}), []byte("body")))
	require.Len(t, first.String(), 12)
}

func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	seen := map[Fingerprint]string{
		Of(newRequest(func(*http.Request) {}), []byte("body")): "original",
	}
	for name, change := range map[string]func(request *http.Request){
		"method":        func(request *http.Request) { request.Method = http.MethodPut },
		"host":          func(request *http.Request) { request.Host = "b.example" },
		"target":        func(request *http.Request) { request.RequestURI = "/menu/1?x=3" },
		"authorization": func(request *http.Request) { request.Header.Set("Authorization", "token") },
		"cookie":        func(request *http.Request) { request.Header.Set("Cookie", "token") },
		"boundary":      func(request *http.Request) { request.Host, request.RequestURI = "a.example/", "menu/1?x=2" },
	} {
		fingerprint := Of(newRequest(change), []byte("body"))
		require.NotContains(t, seen, fingerprint, name)
		seen[fingerprint] = name
	}
	require.NotContains(t, seen, Of(newRequest(func(*http.Request) {}), []byte("other")), "body")
}
