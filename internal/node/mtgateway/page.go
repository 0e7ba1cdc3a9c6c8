package mtgateway

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
)

const (
	// pageTimeout bounds the reading of a request for a page, and pageIdle the time between two.
	pageTimeout = 3 * time.Second
	pageIdle    = 20 * time.Second
	// pageHeadMost and pageBodyMost bound a request for a page, in bytes; the longest one names a feed and an offset.
	pageHeadMost = 16 << 10
	pageBodyMost = 16 << 10
)

func (g *Gateway) listenPage(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           http.MaxBytesHandler(handler, pageBodyMost),
		ReadHeaderTimeout: pageTimeout,
		ReadTimeout:       pageTimeout,
		IdleTimeout:       pageIdle,
		MaxHeaderBytes:    pageHeadMost,
	}
	g.pages = append(g.pages, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logListenFailed(address, err)
		}
	}()
	return nil
}

func (g *Gateway) logListenFailed(address string, err error) {
	mtevent.ListenFailed.Log(g.logger, logrus.Fields{
		"address": address,
		"error":   err.Error(),
	})
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(to http.ResponseWriter, _ *http.Request) {
		g.meter.write(to)
	})
	return mux
}
