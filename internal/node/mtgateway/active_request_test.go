package mtgateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mtroute"
	"github.com/mangotack/mangotack/internal/core/mtscheduler"
)

func newTestRequest(route *mtroute.Route) *activeRequest {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &activeRequest{
		gateway: &Gateway{
			drainEnded:   context.Background(),
			metrics:      newGatewayMetrics(),
			requestLog:   newRequestLog(logger),
			retryBudgets: newRetryBudgets(0, time.Second),
			quarantine:   newRequestQuarantine(),
			helpers:      newHelperChooser(),
		},
		call: &mtingress.Call{
			ArrivedAt: time.Now(),
		},
		route:          route,
		table:          &mtroute.Table{},
		deadline:       time.Now().Add(time.Hour),
		cancelAll:      func() {},
		attemptCancels: map[int]context.CancelFunc{},
	}
}

// The first attempt fails while the hedge waits for an endpoint, and the hedge finds no free slot. No attempt is left,
// so the request must be answered at once and not only at its deadline.
func TestFailedAttemptEndsRequestWhenHedgeFindsNoSlot(t *testing.T) {
	a := newTestRequest(&mtroute.Route{
		Idempotent: true,
		Attempts:   2,
	})
	a.sentAttempts = 1
	a.mayHaveRun = true
	a.reason = "lost"
	answer := a.handleRefusal(context.Background(), attemptResult{
		isHedge: true,
		refusal: &mtscheduler.Rejection{
			Reason: mtscheduler.NoFreeHedgeSlot,
		},
	})
	require.NotNil(t, answer)
	require.Equal(t, http.StatusBadGateway, answer.Status)
}

func TestRefusedHedgeKeepsFirstAttemptRunning(t *testing.T) {
	a := newTestRequest(&mtroute.Route{
		Idempotent: true,
		Attempts:   2,
	})
	a.activeAttempts = 1
	require.Nil(t, a.handleRefusal(context.Background(), attemptResult{
		isHedge: true,
		refusal: &mtscheduler.Rejection{
			Reason: mtscheduler.NoFreeHedgeSlot,
		},
	}))
}

// The last attempt and the request share one deadline; the answer must not depend on which end is processed first.
func TestAttemptEndingAtDeadlineIsTimeout(t *testing.T) {
	a := newTestRequest(&mtroute.Route{
		Attempts: 1,
	})
	a.deadline = time.Now()
	answer := a.handleResult(context.Background(), attemptResult{
		delivery: mtupstream.MayHaveRun,
		cancel:   func() {},
		grant: mtscheduler.Assignment{
			Endpoint: &mtscheduler.Endpoint{},
		},
	})
	require.NotNil(t, answer)
	require.Equal(t, http.StatusGatewayTimeout, answer.Status)
}

// The host of the first endpoint may report a low load while the first attempt still runs there; a second attempt at
// that endpoint would queue behind the first.
func TestExtraAttemptAvoidsGrantedEndpoints(t *testing.T) {
	a := newTestRequest(&mtroute.Route{})
	a.grants.add(mtscheduler.Assignment{
		Endpoint: &mtscheduler.Endpoint{
			ID: "e-1",
		},
	})
	require.Equal(t, []string{"e-1"}, a.placementRequest().TriedEndpoints)
}

func TestExtraAttemptLogsBudgetAndEndpoints(t *testing.T) {
	var output bytes.Buffer
	a := newTestRequest(&mtroute.Route{})
	a.id = "abc"
	a.gateway.requestLog.logger.SetOutput(&output)
	a.gateway.requestLog.logger.SetFormatter(&logrus.JSONFormatter{})
	first := mtscheduler.Assignment{
		Endpoint: &mtscheduler.Endpoint{
			ID: "e-1",
		},
		Concurrency:  2,
		HostSlowdown: 1.2345,
	}
	a.grants.add(first)
	for range 3 {
		require.False(t, a.takeExtraAttempt("hedge", time.Now()))
	}
	now := time.Now()
	a.gateway.retryBudgets.setSlack(2, 2, now)
	require.True(t, a.takeExtraAttempt("hedge", now.Add(time.Second)))
	second := first
	second.Endpoint = &mtscheduler.Endpoint{
		ID: "e-2",
	}
	second.HasReport = true
	second.ReportAge = 7 * time.Millisecond
	a.grants.add(second)
	a.logAnswer(&mtupstream.Response{
		Status: http.StatusOK,
	}, second, time.Second)

	var logged []map[string]any
	decoder := json.NewDecoder(&output)
	for decoder.More() {
		line := map[string]any{}
		require.NoError(t, decoder.Decode(&line))
		logged = append(logged, line)
	}
	require.Len(t, logged, 3, "consecutive denied attempts are logged once")
	require.Equal(t, false, logged[0]["allowed"])
	require.Equal(t, true, logged[1]["allowed"])
	require.EqualValues(t, 1, logged[1]["left"])
	require.EqualValues(t, 2, logged[1]["slack"])
	require.Equal(t, "hedge", logged[1]["kind"])
	require.Equal(t, "e-1", logged[1]["endpoint"])
	require.EqualValues(t, 1.23, logged[1]["pace"])
	require.NotContains(t, logged[1], "age", "the endpoint has never reported its load")
	require.Equal(t, "e-2", logged[2]["endpoint"])
	require.Equal(t, "e-1", logged[2]["others"])
	require.EqualValues(t, 2, logged[2]["sent"])
	require.EqualValues(t, 7, logged[2]["age"])
}
