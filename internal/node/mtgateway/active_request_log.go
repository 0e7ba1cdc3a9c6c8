package mtgateway

import (
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

// paceStepsPerUnit rounds the slowness of hosts in log lines to hundredths.
const paceStepsPerUnit = 100

// logFields returns the fields that all log lines about the end of a request share. The endpoint is the one that
// answered, or the last one that the request was assigned to.
func (a *activeRequest) logFields(elapsed time.Duration, answeredBy *mtscheduler.Assignment) logrus.Fields {
	fields := logrus.Fields{
		"id":      a.id,
		"route":   a.route.Name,
		"version": a.table.Version,
		"service": a.service,
		"took":    elapsed.Milliseconds(),
	}
	grants := a.grants.snapshot()
	fields["sent"] = len(grants)
	if a.authorization.tenantName != "" {
		fields["tenant"] = a.authorization.tenantName
	}
	if a.isRelayed {
		fields["relayed"] = true
	}
	if len(a.triedHelpers) > 0 {
		fields["helpers"] = strings.Join(a.triedHelpers, " ")
	}
	if answeredBy == nil && len(grants) > 0 {
		answeredBy = &grants[len(grants)-1]
	}
	if answeredBy != nil {
		addGrantFields(fields, *answeredBy)
	}
	var others []string
	for _, grant := range grants {
		if grant.Endpoint != answeredBy.Endpoint {
			others = append(others, grant.Endpoint.ID)
		}
	}
	if len(others) > 0 {
		fields["others"] = strings.Join(others, " ")
	}
	return fields
}

// addGrantFields adds the endpoint of a grant and the load figures that it was chosen by; an endpoint that has never
// reported its load has no age.
func addGrantFields(fields logrus.Fields, grant mtscheduler.Assignment) {
	fields["endpoint"] = grant.Endpoint.ID
	fields["waited"] = grant.Waited.Milliseconds()
	fields["busy"] = grant.Concurrency
	fields["pace"] = math.Round(grant.HostSlowdown*paceStepsPerUnit) / paceStepsPerUnit
	fields["expected"] = grant.ExpectedResponseTime.Milliseconds()
	if grant.HasReport {
		fields["age"] = grant.ReportAge.Milliseconds()
	}
}

// logExtraAttempt logs that a request needs another endpoint, whether the budget allows the attempt, and why.
func (a *activeRequest) logExtraAttempt(kind string, allowed bool, usage budgetUsage, now time.Time) {
	if !a.gateway.requestLog.allow(importanceFailure, now) {
		return
	}
	fields := a.logFields(now.Sub(a.call.ArrivedAt), nil)
	fields["kind"] = kind
	fields["allowed"] = allowed
	fields["left"] = int(usage.left)
	fields["slack"] = int(usage.slack)
	a.gateway.requestLog.write(mtevent.ExtraAttemptNeeded, fields)
}

func (a *activeRequest) logAttemptFailure(
	grant mtscheduler.Assignment, reply *mtupstream.Response, err error, started, now time.Time,
) {
	if !a.gateway.requestLog.allow(importanceFailure, now) {
		return
	}
	fields := logrus.Fields{
		"id":      a.id,
		"route":   a.route.Name,
		"address": grant.Endpoint.Address,
		"took":    now.Sub(started).Milliseconds(),
	}
	addGrantFields(fields, grant)
	if reply != nil {
		fields["status"] = reply.Status
		fields["notrun"] = reply.Metadata.NotRun
	}
	if err != nil {
		fields["error"] = err.Error()
		fields["fingerprint"] = a.fingerprint().String()
	}
	a.gateway.requestLog.write(mtevent.AttemptFailed, fields)
}

// logAnswer logs a reply that is passed on to the caller, of the endpoint of a grant or of a helper.
func (a *activeRequest) logAnswer(reply *mtupstream.Response, grant mtscheduler.Assignment, elapsed time.Duration) {
	importance := importanceOrdinary
	if reply.Status >= http.StatusInternalServerError {
		importance = importanceFailure
	}
	if !a.gateway.requestLog.allow(importance, a.call.ArrivedAt) {
		return
	}
	event := mtevent.CallAnswered
	answeredBy := &grant
	if grant.Endpoint == nil {
		event = mtevent.HelperAnswered
		answeredBy = nil
	}
	fields := a.logFields(elapsed, answeredBy)
	fields["status"] = reply.Status
	fields["left"] = a.objective.Sub(a.call.ArrivedAt).Milliseconds()
	if reason := reply.Header.Get(mtoutcome.ReasonHeader); reason != "" && grant.Endpoint == nil {
		fields["reason"] = reason
	}
	a.gateway.requestLog.write(event, fields)
}

func (a *activeRequest) logRefusal(status int, elapsed time.Duration) {
	if !a.gateway.requestLog.allow(importanceFailure, a.call.ArrivedAt) {
		return
	}
	fields := a.logFields(elapsed, nil)
	fields["status"] = status
	fields["reason"] = a.reason
	fields["mayrun"] = a.mayHaveRun
	if table := a.gateway.routeTable.Load(); table != nil && (a.reason == reasonUnauthorized || a.reason == reasonUndecided) {
		// The key was in the configuration under which the request arrived.
		fields["version"] = table.Version
	}
	if a.retryAfter > 0 {
		fields["after"] = a.retryAfter.Milliseconds()
	}
	if a.lastRefusal != nil {
		fields["wait"] = a.lastRefusal.QueueTime.Milliseconds()
		fields["work"] = a.lastRefusal.ProcessingTime.Milliseconds()
		fields["left"] = a.objective.Sub(a.call.ArrivedAt).Milliseconds()
	}
	a.gateway.requestLog.write(mtevent.CallRefused, fields)
}
