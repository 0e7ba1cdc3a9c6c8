package mtticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtticket"
)

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "a.1.2-x", "a.1.2", "a.g.2-x", "a.1.-2-x", "..-", "my-key",
		"a.ffffffffffffffffff.1-x", "a.1.7fffffffffffffff-x",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, key string) {
		ticket, found, err := mtticket.Parse(key)
		if err != nil || !found {
			return
		}
		reparsed, found, err := mtticket.Parse(ticket.String() + "-x")
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, ticket, reparsed)
	})
}

func TestParseReturnsFormattedTicket(t *testing.T) {
	ticket := mtticket.Ticket{
		Instance:    "entry-3",
		Incarnation: 1<<64 - 1,
		Expiry:      time.Unix(1_800_000_000, 0),
	}
	parsed, found, err := mtticket.Parse(ticket.String() + "-deposit-77")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, ticket, parsed)
}
