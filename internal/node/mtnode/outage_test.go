package mtnode_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/testkit/mtsite"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtcaller"
)

// depositSite runs a platform with one deposit endpoint and one entry instance under a published contract.
func depositSite(t *testing.T, options ...mtsite.Option) *mtsite.Site {
	site := mtsite.NewSite(t, options...)
	server := httptest.NewServer(&deposits{runs: map[string]int{}})
	t.Cleanup(server.Close)
	site.AddEndpoint("deposit-1", depositService, strings.TrimPrefix(server.URL, "http://"))
	site.AddNode("entry-1")
	site.Publish(depositRecords()...)
	eventuallyServes(site, site.Nodes[0])
	return site
}

func serves(node *mtsite.Node) bool {
	answer, err := callDeposit(mtcaller.NewClient(teamToken, []string{node.Calls}))
	return err == nil && answer.Status == http.StatusOK
}

func eventuallyServes(site *mtsite.Site, node *mtsite.Node) {
	site.Eventually(func() bool {
		return serves(node)
	}, "an answer through "+node.Name)
}

func TestFreshInstanceStartsFromPeersWhileTheLogIsOut(t *testing.T) {
	t.Parallel()
	site := depositSite(t)
	site.Log.SetFaults(true, 0, false)
	fresh := site.AddNode("entry-2")
	eventuallyServes(site, fresh)
	require.True(t, serves(site.Nodes[0]), "the old instance serves on")
}

func TestAllReplacedWhileTheLogIsOutRefuseAndRecoverByThemselves(t *testing.T) {
	t.Parallel()
	site := depositSite(t)
	site.Log.SetFaults(true, 0, false)
	site.Nodes[0].Stop()
	site.Nodes = nil
	fresh := site.AddNode("entry-2")
	_, err := callDeposit(mtcaller.NewClient(teamToken, []string{fresh.Calls}))
	require.ErrorContains(t, err, "has not read the contracts yet")
	site.Log.SetFaults(false, 0, false)
	eventuallyServes(site, fresh)
}

func TestInstanceCutOffFromLogAndPeersStopsAdmitting(t *testing.T) {
	t.Parallel()
	site := depositSite(t, mtsite.WithStale(time.Second))
	site.Log.SetFaults(true, 0, false)
	site.Eventually(func() bool {
		return !serves(site.Nodes[0])
	}, "a refusal after the state has become stale")
	site.Log.SetFaults(false, 0, false)
	eventuallyServes(site, site.Nodes[0])
}

// The log forgets the records, and an instance that starts afterwards needs the snapshot that another has appended.
func TestFreshInstanceStartsFromASnapshotAfterTheLogForgot(t *testing.T) {
	t.Parallel()
	site := depositSite(t, mtsite.WithRetention(10*time.Second))
	site.Eventually(func() bool {
		return site.Log.Oldest("mangotack") > uint64(len(depositRecords()))
	}, "a log that has forgotten the first records")
	site.Nodes[0].Stop()
	site.Nodes = nil
	fresh := site.AddNode("entry-2")
	eventuallyServes(site, fresh)
}

func TestRevokedApprovalIsInForceAtAnInstanceThatHearsOnlyPeers(t *testing.T) {
	t.Parallel()
	site := depositSite(t)
	cut := site.AddNode("entry-2", mtsite.WithoutLog())
	eventuallyServes(site, cut)
	revoked := depositRecords()[2]
	revoked.Body = &recordv1.Record_Approval{Approval: &recordv1.Approval{
		Service:  depositService,
		Customer: "acme",
		Team:     "hosts",
		Revoked:  true,
	}}
	site.Publish(revoked)
	require.False(t, serves(cut), "the change is in force on all, so nothing is let through")
}
