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
	// lastingKey is a key in all versions of the configuration.
	lastingKey = "key-lasting"
	// rollback is the component of the fault timeline for an older version that is newest in the store.
	rollback = "rollback"
)

// versionKey is a key in one version of the configuration only.
func versionKey(version int) string {
	return fmt.Sprint("key-", version)
}

// configuration returns a version of the configuration, which removes the key of the version before and adds one.
func configuration(version, extraRoutes int) []byte {
	return mtfake.TenantsConfiguration(version, extraRoutes, fmt.Sprintf(
		`{"name":"lasting","api_keys":[%q]},{"name":"changing","api_keys":[%q]},{"name":%q,"api_keys":[%q],"rate_per_s":%d,"burst":%d}`,
		lastingKey, versionKey(version), hotTenantName, hotKey, hotRate, hotBurst))
}

// monitorKeys sends requests with the newest key, and with one that was removed after the instance has served it, to one
// instance, until the context ends.
func (r *run) monitorKeys(ctx context.Context, index int) {
	client := &http.Client{
		Timeout:   pollTimeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1},
	}
	// served is the last version whose key was served, and removed the one before it.
	served, removed := 0, 0
	for poll := 0; ctx.Err() == nil; poll++ {
		time.Sleep(pollInterval)
		id := fmt.Sprintf("%04x%012x", 0xf800+index, poll)
		if poll%2 == 0 {
			r.checkRemovedKey(client, index, removed, id)
		} else if version, isServed := r.checkNewestKey(client, index, id); isServed && version != served {
			served, removed = version, served
		}
	}
}

// checkNewestKey sends a request with the key of the newest version to an instance, and returns the version and whether the
// request was served.
func (r *run) checkNewestKey(client *http.Client, index int, id string) (version int, isServed bool) {
	version, publishedAt := r.newestVersion()
	sentAt := r.now()
	status := r.queryKey(client, index, versionKey(version), id)
	if newest, _ := r.newestVersion(); newest != version || r.faults.overlaps(publishedAt, r.now(), rollback) {
		return version, false
	}
	r.checker.CountKey("newest", status)
	if status == http.StatusUnauthorized && sentAt-publishedAt > configApplyTimeout {
		r.checker.Report(r.now(), mtinvariant.KeysKnown, "instance %d answers 401 to the key of configuration %d after %v",
			index, version, sentAt-publishedAt)
	}
	return version, status == http.StatusOK
}

// checkRemovedKey sends a request with the key of a version, which the next version has removed, to an instance.
func (r *run) checkRemovedKey(client *http.Client, index, version int, id string) {
	removedAt, isRemoved := r.publicationOf(version + 1)
	sentAt := r.now()
	if version == 0 || !isRemoved || sentAt-removedAt <= configApplyTimeout {
		return
	}
	status := r.queryKey(client, index, versionKey(version), id)
	// An instance without a fault for so long has the version.
	from := max(removedAt, sentAt-configApplyTimeout) - faultSettleTime
	if r.faults.overlaps(from, r.now(), "store", r.instanceNames[index], stoppingKey(index)) ||
		r.faults.overlaps(removedAt, r.now(), rollback) {
		return
	}
	r.checker.CountKey("removed", status)
	if status == http.StatusOK {
		r.checker.Report(r.now(), mtinvariant.KeysRevoked, "instance %d runs a request with a key %v after configuration %d has removed it",
			index, sentAt-removedAt, version+1)
	}
}

// queryKey sends a request with a key to an instance and returns the status of the answer, or 0.
func (r *run) queryKey(client *http.Client, index int, key, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.gateways[index].Instance.CallsAddress()+"/menu/1", nil)
	if err != nil {
		return 0
	}
	request.Host = mtfake.VirtualHost
	request.Header.Set(mtname.AttemptIDHeader, id)
	request.Header.Set(mtname.DeadlineHeader, fmt.Sprint(pollTimeout.Milliseconds()))
	request.Header.Set(mtname.KeyHeader, key)
	r.checker.RequestSent(id, "menu", true, index, r.now())
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	// The status alone shows whether the request ran, so an error in the body is ignored.
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}
