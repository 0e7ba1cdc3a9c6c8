package mtgateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtmesh"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// While a link is full, checks get no response in time, but requests that were sent before do.
func TestCongestedLinkIsNotTakenForPartition(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	gateway := newTestGateway()
	gateway.endpointPool = mtupstream.NewPool(emptyHeaderCodec{}, nil)
	mesh, err := mtmesh.NewMesh(&peerv1.Row{Instance: "self", Mesh: "127.0.0.1:0"}, nil, gateway, gateway.logger)
	require.NoError(t, err)
	gateway.mesh = mesh
	gateway.HandleChanges(newEndpointChanges(0, 1, true), time.Now())
	target := gateway.targets["e-1"]
	target.Address = listener.Addr().String()
	gateway.recordReach("menu", target, mtscheduler.Failed, mtupstream.MayHaveRun, time.Now())
	const checks = 3
	for range checks {
		conn, err := listener.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		gateway.recordReach("menu", target, mtscheduler.Served, mtupstream.Answered, time.Now())
		gateway.recordReach("menu", target, mtscheduler.Failed, mtupstream.MayHaveRun, time.Now())
	}
	require.Empty(t, gateway.currentLostServices())
}
