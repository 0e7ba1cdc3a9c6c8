package mtresponseguard

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// transport checks the responses to HTTP/1.1 requests.
type transport struct {
	next *http.Transport
}

// NewTransport returns a round tripper that sends requests by next, whose dial functions it wraps, over HTTP/1.1.
func NewTransport(next *http.Transport) http.RoundTripper {
	dial := next.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	next.DialContext = guardDial(dial)
	next.DialTLSContext = guardDial(dialTLS(dial, next.TLSClientConfig))
	next.ForceAttemptHTTP2 = false
	return &transport{
		next: next,
	}
}

// NewClient returns a client with the settings of http.DefaultClient.
func NewClient() *http.Client {
	return &http.Client{
		Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone()),
	}
}

func guardDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// dialTLS returns a dial function that makes the TLS handshake, so that the guard sees the decrypted bytes.
func dialTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		settings := &tls.Config{}
		if config != nil {
			settings = config.Clone()
		}
		if host, _, err := net.SplitHostPort(address); err == nil && settings.ServerName == "" {
			settings.ServerName = host
		}
		secure := tls.Client(conn, settings)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secure, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return t.next.RoundTrip(WithTrace(request, nil))
}

// CloseIdleConnections closes the connections that carry no request.
func (t *transport) CloseIdleConnections() {
	t.next.CloseIdleConnections()
}

// WithTrace returns the request with a trace that tells its connection when it begins and ends. Conn is the connection
// of the request; if it is nil, net/http chooses the connection.
func WithTrace(request *http.Request, conn *Conn) *http.Request {
	if conn != nil {
		conn.BeginRequest(request.Method)
	}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		// net/http calls GotConn before it writes the request.
		GotConn: func(info httptrace.GotConnInfo) {
			if guarded, ok := info.Conn.(*Conn); ok && conn == nil {
				conn = guarded
				conn.BeginRequest(request.Method)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn != nil {
				conn.EndRequest(info.Err)
			}
		},
	}))
}
