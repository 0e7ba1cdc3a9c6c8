package mtserver

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	readHeaderTimeout    = 10 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	maxConcurrentStreams = 1000
)

var (
	namespace = errorx.NewNamespace("server")
	// InvalidCertificate is the type of the error for a certificate and key that don't form a valid pair.
	InvalidCertificate = namespace.NewType("certificate")
)

// Server serves HTTP on one listener.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// NewServer listens at address, an IP address with a port; certificate and key are in PEM, or empty to serve without
// TLS.
func NewServer(address, certificate, key string, handler http.Handler, options ...Option) (*Server, error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
		},
	}
	if certificate != "" {
		pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
		if err != nil {
			return nil, InvalidCertificate.New(
				"settings: /certificate and /key are not a PEM certificate and its private key")
		}
		server.TLSConfig = &tls.Config{
			Certificates: []tls.Certificate{pair},
			MinVersion:   tls.VersionTLS12,
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	bounded := &Server{
		listener: listener,
		server:   server,
	}
	for _, option := range options {
		option(bounded)
	}
	return bounded, nil
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve accepts connections until Shutdown or Close is called, and then returns nil.
func (s *Server) Serve() error {
	var err error
	if s.server.TLSConfig != nil {
		err = s.server.ServeTLS(s.listener, "", "")
	} else {
		err = s.server.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and returns when no request is in flight or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.server.Close()
}
