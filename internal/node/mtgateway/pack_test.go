package mtgateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

func TestPackedChangesAreTheSameAndSmaller(t *testing.T) {
	changes := &peerv1.Changes{
		Feed: 1,
		From: 3,
		To:   5,
		Changes: []*peerv1.Change{
			{Key: "config", Value: []byte(strings.Repeat(`{"path_prefix":"/leny950/"},`, 3000))},
			{Key: "old", Gone: true},
		},
	}
	small := packed(changes)
	require.Less(t, proto.Size(small), relayLimit, "a configuration of 84 KB fits into a datagram")
	require.Equal(t, changes.GetTo(), small.GetTo())
	again, err := unpacked(small)
	require.NoError(t, err)
	require.True(t, proto.Equal(changes, again))
	plain, err := unpacked(changes)
	require.NoError(t, err)
	require.Same(t, changes, plain)
}

func TestPackedChangesThatAreSpoiltAreRefused(t *testing.T) {
	small := packed(&peerv1.Changes{Feed: 1})
	small.Packed = small.Packed[:len(small.Packed)/2]
	_, err := unpacked(small)
	require.Error(t, err)
}
