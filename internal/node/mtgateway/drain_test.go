package mtgateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtroute"
)

// A request that arrives late in the grace period must not be passed on with time that the instance does not have.
func TestDeadlineOfLateRequestIsNotBeyondEndOfInstance(t *testing.T) {
	gateway, _ := newObjectiveTestGateway(&mtroute.Route{})
	header := http.Header{timeoutHeader: {"20000"}}
	now := time.Now()
	_, _, deadline := gateway.requestDeadlines(&mtroute.Route{}, header, now, nil)
	require.Equal(t, now.Add(20*time.Second-timeoutMargin), deadline)
	answerBy := now.Add(3 * time.Second)
	gateway.answerBy.Store(&answerBy)
	_, _, deadline = gateway.requestDeadlines(&mtroute.Route{}, header, now, nil)
	require.Equal(t, answerBy, deadline)
	header.Set(timeoutHeader, "1000")
	_, _, deadline = gateway.requestDeadlines(&mtroute.Route{}, header, now, nil)
	require.Equal(t, now.Add(time.Second-timeoutMargin), deadline)
}
