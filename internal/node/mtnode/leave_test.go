package mtnode_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	"github.com/mangotack/mangotack/internal/core/mtrecord"
	"github.com/mangotack/mangotack/internal/core/mtrules"
	"github.com/mangotack/mangotack/internal/testkit/mtcluster"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
	"github.com/mangotack/mangotack/pkg/mtcaller"
)

const depositService = "test.v1.DepositService"

// depositEndpoint is an endpoint that counts the runs of each idempotency key and echoes the request body.
type depositEndpoint struct {
	mu   sync.Mutex
	runs map[string]int
}

func (e *depositEndpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	e.mu.Lock()
	e.runs[request.Header.Get(mtcall.IdempotencyKeyHeader)]++
	e.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	_, _ = writer.Write(body)
}

// runsWithKeyPrefix counts the runs of the keys that start with a prefix; a key starts with its ticket, which starts
// with the name of an entry instance.
func (e *depositEndpoint) runsWithKeyPrefix(prefix string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0
	for key, runs := range e.runs {
		if strings.HasPrefix(key, prefix) {
			count += runs
		}
	}
	return count
}

// Clients call through an entry instance until it has left, some of them with an answer of Resolve that they cache
// until it expires. No call may fail, and none may run twice.
func TestNoCallFailsOrRunsTwiceWhileInstanceLeaves(t *testing.T) {
	t.Parallel()
	site := mtcluster.NewCluster(t)
	endpoint := &depositEndpoint{runs: map[string]int{}}
	server := httptest.NewServer(endpoint)
	t.Cleanup(server.Close)
	site.RegisterEndpoint("deposit-1", depositService, strings.TrimPrefix(server.URL, "http://"))
	site.AddInstance("entry-1")
	site.AddInstance("entry-2")
	site.Publish(depositRecords()...)
	entryAddresses := []string{site.Instances[0].CallsAddress, site.Instances[1].CallsAddress}
	site.Eventually(func() bool {
		_, err := callDeposit(mtcaller.NewClient(teamToken, entryAddresses))
		return err == nil
	}, "a first answer")

	var calls, failed atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for range 8 {
		client := mtcaller.NewClient(teamToken, entryAddresses)
		clients.Go(func() {
			for ctx.Err() == nil {
				calls.Add(1)
				if answer, err := callDeposit(client); err != nil || answer.Status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	site.Eventually(func() bool {
		return endpoint.runsWithKeyPrefix("entry-2.") > 50
	}, "calls through the instance that will leave")
	site.Instances[1].Stop()
	cancel()
	clients.Wait()
	t.Logf("%d calls were made while an instance left", calls.Load())
	require.Positive(t, calls.Load())
	require.Zero(t, failed.Load())
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	for key, runs := range endpoint.runs {
		require.Equal(t, 1, runs, "key %s", key)
	}
}

func callDeposit(client *mtcaller.Client) (*mtcaller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return client.Do(ctx, mtcaller.Call{
		Service: depositService,
		Method:  "Charge",
		Body:    []byte("7"),
	})
}

func depositRecords() []*recordv1.Record {
	return []*recordv1.Record{
		{Body: &recordv1.Record_Service{Service: &recordv1.Service{
			Name:        depositService,
			Owners:      []string{mtrules.HashToken(mtcluster.OwnerToken)},
			Protocol:    mtrecord.HTTP1,
			Slots:       20,
			Connections: 100,
			Timeout:     durationpb.New(10 * time.Second),
		}}},
		{Body: &recordv1.Record_Contract{Contract: &recordv1.Contract{
			Customer: "acme",
			Teams: []*recordv1.Team{{
				Name:     "hosts",
				Tokens:   []string{mtrules.HashToken(teamToken)},
				Services: []string{depositService},
			}},
		}}},
		{Body: &recordv1.Record_Approval{Approval: &recordv1.Approval{
			Service:  depositService,
			Customer: "acme",
			Team:     "hosts",
		}}},
	}
}
