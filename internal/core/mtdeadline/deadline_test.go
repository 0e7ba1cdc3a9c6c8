package mtdeadline_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtdeadline"
)

func FuzzRead(f *testing.F) {
	for _, seed := range []string{"", "1", "1S", "99999999H", "9999999999H", "-1S", "1x", "S", "00000000000m", " 1S"} {
		f.Add(seed, seed)
	}
	f.Fuzz(func(t *testing.T, grpc, connect string) {
		header := http.Header{
			mtdeadline.GRPCHeader:    {grpc},
			mtdeadline.ConnectHeader: {connect},
		}
		left, found, err := mtdeadline.Read(header)
		if err == nil && found {
			require.GreaterOrEqual(t, left, time.Duration(0))
		}
	})
}

func TestReadAndWrite(t *testing.T) {
	for text, expected := range map[string]time.Duration{
		"5S":  5 * time.Second,
		"20m": 20 * time.Millisecond,
		"7u":  7 * time.Microsecond,
	} {
		left, found, err := mtdeadline.Read(http.Header{mtdeadline.GRPCHeader: {text}})
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, expected, left)
	}
	header := http.Header{"Content-Type": {"application/grpc+proto"}}
	mtdeadline.Write(header, 1500*time.Millisecond)
	require.Equal(t, "1500m", header.Get(mtdeadline.GRPCHeader))
	_, _, err := mtdeadline.Read(http.Header{mtdeadline.GRPCHeader: {"5 minutes"}})
	require.ErrorContains(t, err, `found "5 minutes", expected a number and one of H, M, S, m, u, n`)
}
