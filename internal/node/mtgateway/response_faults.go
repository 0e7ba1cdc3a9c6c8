package mtgateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtresponsehead"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

// recordInvalidResponse counts and logs an attempt that ended with err because the response is not valid HTTP/1.1.
func (a *activeRequest) recordInvalidResponse(address string, err error, now time.Time) {
	var invalid *mtresponsehead.Error
	if !errors.As(err, &invalid) {
		return
	}
	a.gateway.metrics.countResponseFault("invalid", a.service)
	if !a.gateway.requestLog.allow(importanceFailure, now) {
		return
	}
	a.gateway.requestLog.write(mtevent.ResponseInvalid, logrus.Fields{
		"id":      a.id,
		"service": a.service,
		"address": address,
		"error":   invalid.Reason,
	})
}

// recordBrokenRemainder counts and logs a long response that broke off after it was begun. The end of the own connection
// is none: the caller has left, or the deadline has passed.
func (a *activeRequest) recordBrokenRemainder(grant mtscheduler.Assignment, err error, now time.Time) {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	a.gateway.metrics.countResponseFault("broken", a.service)
	if !a.gateway.requestLog.allow(importanceFailure, now) {
		return
	}
	fields := logrus.Fields{
		"id":      a.id,
		"service": a.service,
		"error":   err.Error(),
	}
	if grant.Endpoint != nil {
		addGrantFields(fields, grant)
	}
	a.gateway.requestLog.write(mtevent.ResponseBrokenOff, fields)
}

// countResponseFault counts a response that is "invalid" or "broken".
func (m *gatewayMetrics) countResponseFault(kind, service string) {
	m.set.GetOrCreateCounter(
		fmt.Sprintf(`mangotack_gateway_response_faults_total{service=%q,kind=%q}`, service, kind),
	).Inc()
}

// observedRemainder keeps the error that reading the remainder of a response ended with.
type observedRemainder struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (r *observedRemainder) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}
