package mtrecord_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtrecord"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

func TestCheckReportsPlainTokenWithoutQuotingIt(t *testing.T) {
	findings := mtrecord.Check(&recordv1.Record{Body: &recordv1.Record_Contract{Contract: &recordv1.Contract{
		Customer: "acme",
		Teams: []*recordv1.Team{{
			Name:   "hosts",
			Tokens: []string{"plain-token", "plain-token"},
			Limit:  &recordv1.Limit{Rate: math.NaN()},
		}},
	}}})
	require.Len(t, findings, 4)
	for _, finding := range findings {
		require.NotContains(t, finding.String(), "plain-token")
	}
}

func TestRecordWithoutBodyIsInvalidAndHasNoKey(t *testing.T) {
	require.NotEmpty(t, mtrecord.Check(&recordv1.Record{Id: "a"}))
	require.Empty(t, mtrecord.Key(&recordv1.Record{Id: "a"}))
}
