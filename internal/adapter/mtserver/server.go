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
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerLimit   = 64 << 10
	streamLimit   = 1000
)

var (
	namespace = errorx.NewNamespace("server")
	// Certificate is the type of the error for a certificate that can't be used.
	Certificate = namespace.NewType("certificate")
)

// Server is one listener with its handler.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// NewServer listens at an IP number and port; certificate and key are PEM texts, or empty for no TLS.
func NewServer(address, certificate, key string, handler http.Handler) (*Server, error) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimit,
		ErrorLog:          log.New(io.Discard, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: streamLimit,
		},
	}
	if certificate != "" {
		pair, err := tls.X509KeyPair([]byte(certificate), []byte(key))
		if err != nil {
			return nil, Certificate.New("settings: /certificate and /key are no pair of PEM texts")
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
	return &Server{
		listener: listener,
		server:   server,
	}, nil
}

// Address returns the IP number and port that the server listens at.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve serves until Shutdown or Close.
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

// Shutdown takes no more connections and returns when no request is in flight or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close cuts all connections.
func (s *Server) Close() error {
	return s.server.Close()
}
