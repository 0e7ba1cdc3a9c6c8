package mtshare_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mangotack/mangotack/internal/core/mtshare"
	_ "github.com/mangotack/mangotack/internal/testkit/mtseed"
)

// otherAnnouncements returns the announcements of all instances but self.
func otherAnnouncements(fractions []float64, demands []float64, self int) []mtshare.Announcement {
	var result []mtshare.Announcement
	for i := range fractions {
		if i != self {
			result = append(result, mtshare.Announcement{
				Demand:   demands[i],
				Fraction: fractions[i],
			})
		}
	}
	return result
}

// With equal views, the fractions never add up to more than 1, in whatever order the instances adjust.
func TestFractionsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 18).Draw(t, "size")
		limit := rapid.Float64Range(0, 1000).Draw(t, "limit")
		shares := make([]mtshare.Share, size)
		demands := make([]float64, size)
		for range 30 {
			announcedFractions := make([]float64, size)
			for i := range shares {
				announcedFractions[i] = shares[i].Fraction()
			}
			announcedDemands := slices.Clone(demands)
			sum := 0.0
			for i := range shares {
				demands[i] = rapid.Float64Range(0, 500).Draw(t, "demand")
				sum += shares[i].Adjust(demands[i], limit, otherAnnouncements(announcedFractions, announcedDemands, i))
			}
			require.LessOrEqual(t, sum, 1+1e-9)
		}
	})
}

func TestClaimsStayWithinLimit(t *testing.T) {
	shares := make([]mtshare.Share, 3)
	announcedDemands := []float64{100, 100, 0}
	for range 10 {
		announcedFractions := []float64{shares[0].Fraction(), shares[1].Fraction(), shares[2].Fraction()}
		for i := range shares {
			shares[i].Adjust(announcedDemands[i], 400, otherAnnouncements(announcedFractions, announcedDemands, i))
		}
	}
	// The second instance has failed, and its callers move to the third.
	announcedFractions := []float64{shares[0].Fraction(), shares[2].Fraction()}
	survivorDemands := []float64{100, 0}
	claimed := shares[2].RaiseUnannounced(100, 400, otherAnnouncements(announcedFractions, survivorDemands, 1))
	require.LessOrEqual(t, claimed+shares[0].Fraction(), 1.0)
	require.Greater(t, claimed*400, 80.0)
	shares[0].RaiseUnannounced(500, 400, otherAnnouncements(announcedFractions, survivorDemands, 0))
	require.LessOrEqual(t, shares[2].Fraction()+shares[0].Fraction(), 1.0+1e-9)
}

// If each instance used its desired fraction at once, two instances with different views of the demand would exceed the
// limit.
func TestImmediateSplitExceedsLimit(t *testing.T) {
	immediate := func(own, other float64) float64 { return own / (own + other) }
	require.Greater(t, immediate(90, 10)+immediate(90, 10), 1.5, "each knows only the old demand of the other")
}

func TestFractionsFollowDemand(t *testing.T) {
	shares := make([]mtshare.Share, 4)
	demands := []float64{90, 5, 5, 0}
	for range 10 {
		announcedFractions := make([]float64, 4)
		for i := range shares {
			announcedFractions[i] = shares[i].Fraction()
		}
		for i := range shares {
			shares[i].Adjust(demands[i], 50, otherAnnouncements(announcedFractions, demands, i))
		}
	}
	require.Greater(t, shares[0].Fraction(), 0.85)
	require.Greater(t, shares[3].Fraction(), 0.0)
}

func TestIdleInstanceGetsFractionOfLimitThatIsNotUsedUp(t *testing.T) {
	shares := make([]mtshare.Share, 3)
	demands := []float64{100, 100, 0}
	for range 10 {
		announcedFractions := []float64{shares[0].Fraction(), shares[1].Fraction(), shares[2].Fraction()}
		for i := range shares {
			shares[i].Adjust(demands[i], 400, otherAnnouncements(announcedFractions, demands, i))
		}
	}
	require.Greater(t, shares[2].Fraction(), 0.05)
	require.Greater(t, shares[0].Fraction()*400, 100.0)
}
