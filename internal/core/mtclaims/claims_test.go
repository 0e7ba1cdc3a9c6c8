package mtclaims_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtclaims"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

func batch(claims ...*peerv1.Claim) *peerv1.Claims {
	return &peerv1.Claims{
		Claims: claims,
	}
}

func claim(id uint64, key string) *peerv1.Claim {
	return &peerv1.Claim{
		Id:   id,
		Team: "acme/hosts",
		Key:  key,
	}
}

func TestFirstClaimOnTheLogWinsForEveryReader(t *testing.T) {
	log := []*peerv1.Claims{batch(claim(1, "a"), claim(2, "b")), nil, batch(claim(3, "a"), claim(4, "c"), claim(5, "c"))}
	for range 2 {
		claims := mtclaims.NewClaims()
		for offset, entry := range log {
			require.NoError(t, claims.Apply(uint64(offset), entry))
			require.NoError(t, claims.Apply(uint64(offset), batch(claim(9, "a"), claim(9, "d"))), "an offset counts once")
		}
		require.EqualValues(t, 1, claims.First("acme/hosts", "a").GetId())
		require.EqualValues(t, 4, claims.First("acme/hosts", "c").GetId())
		require.Nil(t, claims.First("acme/hosts", "d"))
		require.Nil(t, claims.First("acme/cooks", "a"), "keys belong to teams")
	}
}

func TestClaimsAreForgottenWithTheLogAndGapsAreRefused(t *testing.T) {
	claims := mtclaims.NewClaims()
	require.NoError(t, claims.Apply(0, batch(claim(1, "a"))))
	require.NoError(t, claims.Apply(1, batch(claim(2, "b"))))
	require.True(t, errorx.IsOfType(claims.Apply(5, batch()), mtclaims.Gap))
	claims.Forget(1)
	require.Nil(t, claims.First("acme/hosts", "a"))
	require.NotNil(t, claims.First("acme/hosts", "b"))
	claims.Forget(7)
	require.Zero(t, claims.Len())
	require.EqualValues(t, 7, claims.Applied())
}
