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
	"github.com/mangotack/mangotack/internal/core/mtplacer"
	"github.com/mangotack/mangotack/internal/core/mtroute"
)

func newTestAttempt(route *mtroute.Route) *attempt {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &attempt{
		gateway: &Gateway{
			meter:   newMeter(),
			journal: newJournal(logger),
			budgets: newBudgets(0, time.Second),
		},
		call: &mtingress.Call{
			Arrived: time.Now(),
		},
		route:   route,
		table:   &mtroute.Table{},
		end:     time.Now().Add(time.Hour),
		cancel:  func() {},
		cancels: map[int]context.CancelFunc{},
	}
}

// The first endpoint fails while a second one is being looked for, and none is free: nothing is under way any more, so the
// request must be answered at once and not at the end of its time.
func TestRequestIsAnsweredWhenTheFirstFailsAndTheHedgeFindsNoSlot(t *testing.T) {
	a := newTestAttempt(&mtroute.Route{
		Idempotent: true,
		Attempts:   2,
	})
	a.sent = 1
	a.mayRun = true
	a.why = "lost"
	answer := a.takeRefusal(context.Background(), result{
		hedge: true,
		refusal: &mtplacer.Refusal{
			Reason: mtplacer.NoSpare,
		},
	})
	require.NotNil(t, answer)
	require.Equal(t, http.StatusBadGateway, answer.Status)
}

func TestRefusedHedgeLeavesTheFirstTryAlone(t *testing.T) {
	a := newTestAttempt(&mtroute.Route{
		Idempotent: true,
		Attempts:   2,
	})
	a.running = 1
	require.Nil(t, a.takeRefusal(context.Background(), result{
		hedge: true,
		refusal: &mtplacer.Refusal{
			Reason: mtplacer.NoSpare,
		},
	}))
}

// The last try and the request end at one moment; which of the two is seen first must not change the answer.
func TestTryThatEndsWithTheTimeOfTheRequestIsATimeout(t *testing.T) {
	a := newTestAttempt(&mtroute.Route{
		Attempts: 1,
	})
	a.end = time.Now()
	answer := a.take(context.Background(), result{
		fate:   mtupstream.Lost,
		cancel: func() {},
		grant: mtplacer.Grant{
			Target: &mtplacer.Target{},
		},
	})
	require.NotNil(t, answer)
	require.Equal(t, http.StatusGatewayTimeout, answer.Status)
}

// While the first endpoint is at work its host may look fast again, but a second try there would wait behind the first.
func TestFurtherTryAvoidsTheEndpointsThatAreStillAtWork(t *testing.T) {
	a := newTestAttempt(&mtroute.Route{})
	a.granted.add(mtplacer.Grant{
		Target: &mtplacer.Target{
			ID: "e-1",
		},
	})
	require.Equal(t, []string{"e-1"}, a.request().Avoid)
}

func TestFurtherTryIsLoggedWithItsBudgetAndTheFirstEndpoint(t *testing.T) {
	var lines bytes.Buffer
	a := newTestAttempt(&mtroute.Route{})
	a.id = "abc"
	a.gateway.journal.logger.SetOutput(&lines)
	a.gateway.journal.logger.SetFormatter(&logrus.JSONFormatter{})
	first := mtplacer.Grant{
		Target: &mtplacer.Target{
			ID: "e-1",
		},
		Level: 2,
		Pace:  1.2345,
	}
	a.granted.add(first)
	for range 3 {
		require.False(t, a.takeRepeat("hedge", time.Now()))
	}
	a.gateway.budgets.setSlack(2)
	require.True(t, a.takeRepeat("hedge", time.Now()))
	second := first
	second.Target = &mtplacer.Target{
		ID: "e-2",
	}
	second.Known = true
	second.Age = 7 * time.Millisecond
	a.granted.add(second)
	a.logAnswer(&mtupstream.Reply{
		Status: http.StatusOK,
	}, second, time.Second)

	var told []map[string]any
	decoder := json.NewDecoder(&lines)
	for decoder.More() {
		line := map[string]any{}
		require.NoError(t, decoder.Decode(&line))
		told = append(told, line)
	}
	require.Len(t, told, 3, "a denied try is told once")
	require.Equal(t, false, told[0]["allowed"])
	require.Equal(t, true, told[1]["allowed"])
	require.EqualValues(t, 1, told[1]["left"])
	require.Equal(t, "hedge", told[1]["kind"])
	require.Equal(t, "e-1", told[1]["endpoint"])
	require.EqualValues(t, 1.23, told[1]["pace"])
	require.NotContains(t, told[1], "age", "the endpoint never told its load")
	require.Equal(t, "e-2", told[2]["endpoint"])
	require.Equal(t, "e-1", told[2]["others"])
	require.EqualValues(t, 2, told[2]["sent"])
	require.EqualValues(t, 7, told[2]["age"])
}
