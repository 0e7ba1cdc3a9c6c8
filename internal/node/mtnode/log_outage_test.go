package mtnode_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/testkit/mtcluster"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtcaller"
)

// newDepositSite runs a platform with one deposit endpoint, one entry instance and a published contract, and waits
// until a call succeeds.
func newDepositSite(t *testing.T, options ...mtcluster.Option) *mtcluster.Cluster {
	site := mtcluster.NewCluster(t, options...)
	server := httptest.NewServer(&depositEndpoint{runs: map[string]int{}})
	t.Cleanup(server.Close)
	site.RegisterEndpoint("deposit-1", depositService, strings.TrimPrefix(server.URL, "http://"))
	site.AddInstance("entry-1")
	site.Publish(depositRecords()...)
	waitUntilServing(site, site.Instances[0])
	return site
}

// serves reports whether a call through an entry instance succeeds.
func serves(node *mtcluster.Instance) bool {
	answer, err := callDeposit(mtcaller.NewClient(teamToken, []string{node.CallsAddress}))
	return err == nil && answer.Status == http.StatusOK
}

func waitUntilServing(site *mtcluster.Cluster, node *mtcluster.Instance) {
	site.Eventually(func() bool {
		return serves(node)
	}, "an answer through "+node.Name)
}

func TestNewInstanceGetsStateFromPeersDuringLogOutage(t *testing.T) {
	t.Parallel()
	site := newDepositSite(t)
	site.Log.SetFaults(true, 0, false)
	newInstance := site.AddInstance("entry-2")
	waitUntilServing(site, newInstance)
	require.True(t, serves(site.Instances[0]), "the old instance must keep serving")
}

// If all instances are replaced during a log outage, no peer has the state. The new instance must refuse calls and
// serve them as soon as the log can be read again.
func TestInstanceWithoutPeersRefusesCallsUntilLogOutageEnds(t *testing.T) {
	t.Parallel()
	site := newDepositSite(t)
	site.Log.SetFaults(true, 0, false)
	site.Instances[0].Stop()
	site.Instances = nil
	newInstance := site.AddInstance("entry-2")
	_, err := callDeposit(mtcaller.NewClient(teamToken, []string{newInstance.CallsAddress}))
	require.ErrorContains(t, err, "has not read the contracts yet")
	site.Log.SetFaults(false, 0, false)
	waitUntilServing(site, newInstance)
}

func TestInstanceWithoutLogAndPeersStopsAdmittingCalls(t *testing.T) {
	t.Parallel()
	site := newDepositSite(t, mtcluster.WithStaleTimeout(time.Second))
	site.Log.SetFaults(true, 0, false)
	site.Eventually(func() bool {
		return !serves(site.Instances[0])
	}, "a refusal after the state has become stale")
	site.Log.SetFaults(false, 0, false)
	waitUntilServing(site, site.Instances[0])
}

// After the retention the log no longer has the first records. An instance that starts then needs the snapshot that an
// earlier instance has appended.
func TestNewInstanceGetsStateFromSnapshotAfterLogRetention(t *testing.T) {
	t.Parallel()
	site := newDepositSite(t, mtcluster.WithRetention(10*time.Second))
	site.Eventually(func() bool {
		return site.Log.OldestOffset("mangotack") > uint64(len(depositRecords()))
	}, "the log to drop the first records")
	site.Instances[0].Stop()
	site.Instances = nil
	newInstance := site.AddInstance("entry-2")
	waitUntilServing(site, newInstance)
}

func TestRevokedApprovalReachesInstanceThatCannotReadLog(t *testing.T) {
	t.Parallel()
	site := newDepositSite(t)
	withoutLog := site.AddInstance("entry-2", mtcluster.WithUnreachableLog())
	waitUntilServing(site, withoutLog)
	revocation := depositRecords()[2]
	revocation.Body = &recordv1.Record_Approval{Approval: &recordv1.Approval{
		Service:  depositService,
		Customer: "acme",
		Team:     "hosts",
		Revoked:  true,
	}}
	site.Publish(revocation)
	require.False(t, serves(withoutLog), "the revocation is in force on all instances, so the call must be refused")
}
