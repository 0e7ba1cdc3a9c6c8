package mtgateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

func TestCompressedChangesRoundTripAndFitDatagram(t *testing.T) {
	changes := &peerv1.Changes{
		Feed: 1,
		From: 3,
		To:   5,
		Changes: []*peerv1.Change{
			{Key: "config", Value: []byte(strings.Repeat(`{"path_prefix":"/leny950/"},`, 3000))},
			{Key: "old", Gone: true},
		},
	}
	compressed := compressChanges(changes)
	require.Less(t, proto.Size(compressed), maxDatagramChangesBytes, "a configuration of 84 KB fits into a datagram")
	require.Equal(t, changes.GetTo(), compressed.GetTo())
	decompressed, err := decompressChanges(compressed)
	require.NoError(t, err)
	require.True(t, proto.Equal(changes, decompressed))
	uncompressed, err := decompressChanges(changes)
	require.NoError(t, err)
	require.Same(t, changes, uncompressed)
}

func TestCorruptCompressedChangesAreRejected(t *testing.T) {
	compressed := compressChanges(&peerv1.Changes{Feed: 1})
	compressed.Packed = compressed.Packed[:len(compressed.Packed)/2]
	_, err := decompressChanges(compressed)
	require.Error(t, err)
}
