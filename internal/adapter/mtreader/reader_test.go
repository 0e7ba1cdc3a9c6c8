package mtreader_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/adapter/mtreader"
	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrefusal"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newRules returns rules with one service and one team, whose approval for the service is revoked unless approved is
// set.
func newRules(approved bool) *mtrules.Rules {
	versions := []*recordv1.Version{
		{Record: &recordv1.Record{Body: &recordv1.Record_Service{Service: &recordv1.Service{
			Name:    "a.v1.S",
			Timeout: durationpb.New(time.Second),
		}}}},
		{Record: &recordv1.Record{Body: &recordv1.Record_Contract{Contract: &recordv1.Contract{
			Customer: "acme",
			Teams: []*recordv1.Team{{
				Name:     "hosts",
				Tokens:   []string{mtrules.HashToken("token")},
				Services: []string{"a.v1.S"},
			}},
		}}}},
		{Record: &recordv1.Record{Body: &recordv1.Record_Approval{Approval: &recordv1.Approval{
			Service:  "a.v1.S",
			Customer: "acme",
			Team:     "hosts",
			Revoked:  !approved,
		}}}},
	}
	return mtrules.NewRules(&recordv1.Snapshot{Versions: versions})
}

// readCall reads the call of a request with the given path and headers.
func readCall(path string, header http.Header, approved bool) (*mtcall.Call, error) {
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.URL = &url.URL{
		Path: path,
	}
	request.Header = header
	return mtreader.Reader{}.Read(request, newRules(approved), now)
}

// newHeader returns a header with the team's token and the given pairs of names and values.
func newHeader(pairs ...string) http.Header {
	headers := http.Header{"Authorization": {"Bearer token"}}
	for i := 0; i < len(pairs); i += 2 {
		headers[pairs[i]] = []string{pairs[i+1]}
	}
	return headers
}

func TestRefusalNamesTheInvalidPartOfTheRequest(t *testing.T) {
	cases := []struct {
		path     string
		header   http.Header
		approved bool
		expected string
	}{
		{"/a.v1.S/M", http.Header{}, true, "header Authorization: found none"},
		{"/a.v1.S/M", http.Header{"Authorization": {"Bearer other"}}, true, "the token belongs to no team"},
		{"/a.v1.S", newHeader(), true, `path: found "/a.v1.S"`},
		{"/a.v1.S/M/x", newHeader(), true, "path: found"},
		{"/b.v1.S/M", newHeader(), true, "not approved for service b.v1.S"},
		{"/a.v1.S/M", newHeader(), false, "not approved for service a.v1.S"},
		{"/a.v1.S/M", newHeader("Connect-Timeout-Ms", "soon"), true, `Connect-Timeout-Ms: found "soon"`},
		{"/a.v1.S/M", newHeader("Mangotack-Spent", "-1"), true, `Mangotack-Spent: found "-1"`},
	}
	for _, test := range cases {
		_, err := readCall(test.path, test.header, test.approved)
		var refusal *mtrefusal.Refusal
		require.True(t, errors.As(err, &refusal), test.expected)
		require.Equal(t, mtoutcome.NotRun, refusal.Outcome)
		require.Contains(t, refusal.Message, test.expected)
		require.NotContains(t, refusal.Message, "other")
	}
	call, err := readCall("/a.v1.S/M", newHeader("Connect-Timeout-Ms", "250"), true)
	require.NoError(t, err)
	require.Equal(t, now.Add(250*time.Millisecond), call.Deadline)
}

func FuzzRead(f *testing.F) {
	f.Add("/a.v1.S/M", "Bearer token", "100", "0", "a.1.2-x")
	f.Add("//", "bearer", "9999999999999", "x", "")
	f.Fuzz(func(t *testing.T, path, authorization, timeout, spent, key string) {
		call, err := readCall(path, http.Header{
			"Authorization":             {authorization},
			"Connect-Timeout-Ms":        {timeout},
			mtcall.RetriesSpentHeader:   {spent},
			mtcall.IdempotencyKeyHeader: {key},
		}, true)
		if err == nil {
			require.Equal(t, "acme/hosts", call.Tenant())
		}
	})
}
