package mtsoak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mangotack/mangotack/internal/soak/mtinvariant"
	"github.com/mangotack/mangotack/platform/mtfake"
	"github.com/mangotack/mangotack/platform/mtname"
)

const (
	// configApplyTimeout is the time within which each instance must apply a configuration: config_apply_ms of the
	// users' sites.
	configApplyTimeout = 2500 * time.Millisecond
	// pollInterval is the time between two polls of an instance.
	pollInterval = 150 * time.Millisecond
	pollTimeout  = time.Second
	// faultSettleTime is how long after its end a fault may still delay a configuration.
	faultSettleTime = 3 * time.Second
)

// monitorConfig polls which version of the configuration one instance applies, until the context ends.
func (r *run) monitorConfig(ctx context.Context, index int) {
	gateway := r.gateways[index]
	client := &http.Client{
		Timeout:   pollTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}
	highestApplied, appliedIncarnation := 0, 0
	for poll := 0; ctx.Err() == nil; poll++ {
		time.Sleep(pollInterval)
		incarnation, _ := gateway.Incarnation()
		if incarnation != appliedIncarnation {
			highestApplied, appliedIncarnation = 0, incarnation
		}
		version, publishedAt := r.newestVersion()
		polledAt := r.now()
		known, applied := r.queryVersion(client, index, version, fmt.Sprintf("%04x%012x", 0xf000+index, 2*poll))
		current, _ := gateway.Incarnation()
		if newest, _ := r.newestVersion(); !known || current != incarnation || newest != version {
			continue
		}
		switch {
		case applied:
			highestApplied = max(highestApplied, version)
		case highestApplied >= version:
			r.checker.Report(r.now(), mtinvariant.VersionsMonotonic, "instance %d has reverted from configuration %d",
				index, version)
		case polledAt-publishedAt > configApplyTimeout &&
			!r.faults.overlaps(publishedAt-faultSettleTime, polledAt, "store", r.instanceNames[index],
				stoppingKey(index)):
			r.checker.Report(r.now(), mtinvariant.ConfigApplied,
				"configuration %d is not applied by instance %d after %v", version, index, polledAt-publishedAt)
		}
		if highestApplied > 1 {
			olderKnown, olderApplied := r.queryVersion(client, index, highestApplied-1,
				fmt.Sprintf("%04x%012x", 0xf000+index, 2*poll+1))
			if current, _ := gateway.Incarnation(); olderKnown && olderApplied && current == incarnation {
				r.checker.Report(r.now(), mtinvariant.VersionsMonotonic, "instance %d serves configuration %d after %d",
					index, highestApplied-1, highestApplied)
			}
		}
	}
}

// queryVersion reports whether an instance applies a version; known is false when the instance answers neither 200 nor
// 404.
func (r *run) queryVersion(client *http.Client, index, version int, id string) (known, applied bool) {
	request, err := http.NewRequest(http.MethodGet,
		"http://"+r.gateways[index].Instance.CallsAddress()+mtfake.VersionPathPrefix(version), nil)
	if err != nil {
		return false, false
	}
	request.Host = mtfake.VirtualHost
	request.Header.Set(mtname.AttemptIDHeader, id)
	request.Header.Set(mtname.KeyHeader, lastingKey)
	request.Header.Set(mtname.DeadlineHeader, fmt.Sprint(pollTimeout.Milliseconds()))
	r.checker.RequestSent(id, "menu", true, index, r.now())
	response, err := client.Do(request)
	if err != nil {
		return false, false
	}
	defer response.Body.Close()
	// The status alone shows whether the version is applied, so an error in the body is ignored.
	_, _ = io.Copy(io.Discard, response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return true, true
	case http.StatusNotFound:
		return true, false
	default:
		return false, false
	}
}
