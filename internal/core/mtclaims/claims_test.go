package mtclaims_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtclaims"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

func newBatch(claims ...*peerv1.Claim) *peerv1.Claims {
	return &peerv1.Claims{
		Claims: claims,
	}
}

func newClaim(id uint64, key string) *peerv1.Claim {
	return &peerv1.Claim{
		Id:   id,
		Team: "acme/hosts",
		Key:  key,
	}
}

func TestFirstClaimOnTheLogIsValidForEveryReader(t *testing.T) {
	log := []*peerv1.Claims{
		newBatch(newClaim(1, "a"), newClaim(2, "b")),
		nil,
		newBatch(newClaim(3, "a"), newClaim(4, "c"), newClaim(5, "c")),
	}
	for range 2 {
		claims := mtclaims.NewClaims()
		for offset, entry := range log {
			require.NoError(t, claims.Apply(uint64(offset), entry))
			require.NoError(t, claims.Apply(uint64(offset), newBatch(newClaim(9, "a"), newClaim(9, "d"))),
				"a second batch at an offset has no effect")
		}
		require.EqualValues(t, 1, claims.FirstClaim("acme/hosts", "a").GetId())
		require.EqualValues(t, 4, claims.FirstClaim("acme/hosts", "c").GetId())
		require.Nil(t, claims.FirstClaim("acme/hosts", "d"))
		require.Nil(t, claims.FirstClaim("acme/cooks", "a"), "a key belongs to one team")
	}
}

func TestForgetRemovesOldClaimsAndGapIsRefused(t *testing.T) {
	claims := mtclaims.NewClaims()
	require.NoError(t, claims.Apply(0, newBatch(newClaim(1, "a"))))
	require.NoError(t, claims.Apply(1, newBatch(newClaim(2, "b"))))
	require.True(t, errorx.IsOfType(claims.Apply(5, newBatch()), mtclaims.Gap))
	claims.ForgetBefore(1)
	require.Nil(t, claims.FirstClaim("acme/hosts", "a"))
	require.NotNil(t, claims.FirstClaim("acme/hosts", "b"))
	claims.ForgetBefore(7)
	require.Zero(t, claims.Len())
	require.EqualValues(t, 7, claims.NextOffset())
}
