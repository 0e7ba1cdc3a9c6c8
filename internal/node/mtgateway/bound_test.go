package mtgateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessPeer answers with a body without end.
type endlessPeer struct{}

func (endlessPeer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(endless{}),
	}, nil
}

type endless struct{}

func (endless) Read(to []byte) (int, error) {
	return copy(to, strings.Repeat("x", len(to))), nil
}

func TestAnswerOfAPeerWithoutEndIsBounded(t *testing.T) {
	response, err := boundedTransport{endlessPeer{}}.RoundTrip(nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Len(t, body, peerBodyMost)
	require.NoError(t, response.Body.Close())
}
