package mtgateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtserver"
)

const (
	// httpReadTimeout bounds the reading of a request, and httpIdleTimeout the time between two requests.
	httpReadTimeout = 3 * time.Second
	httpIdleTimeout = 20 * time.Second
	// maxHTTPHeaderBytes and maxHTTPBodyBytes bound a request; the longest one names a feed and an offset.
	maxHTTPHeaderBytes = 16 << 10
	maxHTTPBodyBytes   = 16 << 10
)

func (g *Gateway) startHTTPServer(address string, handler http.Handler, pageBound *mtserver.Bound) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, maxHTTPBodyBytes),
		ReadHeaderTimeout: httpReadTimeout,
		ReadTimeout:       httpReadTimeout,
		IdleTimeout:       httpIdleTimeout,
		MaxHeaderBytes:    maxHTTPHeaderBytes,
	}
	g.httpServers = append(g.httpServers, server)
	listener = pageBound.Apply(server, listener)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logListenerFailure(address, err)
		}
	}()
	return nil
}

func (g *Gateway) logListenerFailure(address string, err error) {
	mtevent.ListenerFailed.Log(g.logger, logrus.Fields{
		"address": address,
		"error":   err.Error(),
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(response http.ResponseWriter, _ *http.Request) {
		g.metrics.write(response)
		g.writeQuotaMetrics(response, time.Now())
	})
	return mux
}
