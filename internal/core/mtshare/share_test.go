package mtshare_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtshare"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

func others(parts []float64, demands []float64, self int) []mtshare.Announcement {
	var result []mtshare.Announcement
	for i := range parts {
		if i != self {
			result = append(result, mtshare.Announcement{
				Demand: demands[i],
				Part:   parts[i],
			})
		}
	}
	return result
}

// With equal views, in whatever order the instances adjust, the parts never add up to more than the whole limit.
func TestPartsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 18).Draw(t, "size")
		limit := rapid.Float64Range(0, 1000).Draw(t, "limit")
		shares := make([]mtshare.Share, size)
		demands := make([]float64, size)
		for range 30 {
			announced := make([]float64, size)
			for i := range shares {
				announced[i] = shares[i].Part()
			}
			told := slices.Clone(demands)
			sum := 0.0
			for i := range shares {
				demands[i] = rapid.Float64Range(0, 500).Draw(t, "demand")
				sum += shares[i].Adjust(demands[i], limit, others(announced, told, i))
			}
			require.LessOrEqual(t, sum, 1+1e-9)
		}
	})
}

func TestOneClaimStaysWithinTheLimitAndTwoAreBounded(t *testing.T) {
	shares := make([]mtshare.Share, 3)
	told := []float64{100, 100, 0}
	for range 10 {
		announced := []float64{shares[0].Part(), shares[1].Part(), shares[2].Part()}
		for i := range shares {
			shares[i].Adjust(told[i], 400, others(announced, told, i))
		}
	}
	// The second instance has died, and its callers move to the third.
	announced := []float64{shares[0].Part(), shares[2].Part()}
	left := []float64{100, 0}
	claimed := shares[2].Claim(100, 400, others(announced, left, 1))
	require.LessOrEqual(t, claimed+shares[0].Part(), 1.0)
	require.Greater(t, claimed*400, 80.0)
	shares[0].Claim(500, 400, others(announced, left, 0))
	require.LessOrEqual(t, shares[2].Part()+shares[0].Part(), 1.0+1e-9)
}

// The naive way lets each instance take what it wants at once: two that see different demands exceed the limit.
func TestNaiveSplitExceedsTheLimit(t *testing.T) {
	naive := func(own, other float64) float64 { return own / (own + other) }
	require.Greater(t, naive(90, 10)+naive(90, 10), 1.5, "each has heard only the other's old demand")
}

func TestPartsFollowTheDemand(t *testing.T) {
	shares := make([]mtshare.Share, 4)
	demands := []float64{90, 5, 5, 0}
	for range 10 {
		announced := make([]float64, 4)
		for i := range shares {
			announced[i] = shares[i].Part()
		}
		for i := range shares {
			shares[i].Adjust(demands[i], 50, others(announced, demands, i))
		}
	}
	require.Greater(t, shares[0].Part(), 0.85)
	require.Greater(t, shares[3].Part(), 0.0)
}

func TestIdleInstanceCanTakeCallsOfALimitThatIsNotUsedUp(t *testing.T) {
	shares := make([]mtshare.Share, 3)
	demands := []float64{100, 100, 0}
	for range 10 {
		announced := []float64{shares[0].Part(), shares[1].Part(), shares[2].Part()}
		for i := range shares {
			shares[i].Adjust(demands[i], 400, others(announced, demands, i))
		}
	}
	require.Greater(t, shares[2].Part(), 0.05)
	require.Greater(t, shares[0].Part()*400, 100.0)
}
