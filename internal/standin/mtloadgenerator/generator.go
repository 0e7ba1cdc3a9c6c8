package mtloadgenerator

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	settingsv1 "github.com/mangotack/mangotack/internal/gen/mangotack/settings/v1"
	"github.com/mangotack/mangotack/internal/standin/mtfakeendpoint"
	"github.com/mangotack/mangotack/internal/standin/mtloadstats"
	"github.com/mangotack/mangotack/pkg/mtcaller"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	callTimeout = 5 * time.Second
	// unapprovedToken belongs to no team of any contract.
	unapprovedToken = "token-of-nobody"
	// unapprovedRatio is the rate of the additional calls with unapprovedToken, as a ratio of the rate of a load.
	unapprovedRatio = 0.02
)

// Generator sends the calls of all loads at their rates.
type Generator struct {
	settings       *settingsv1.Standin
	entryAddresses []string
	stats          *mtloadstats.Stats
	group          sync.WaitGroup
}

// NewGenerator returns a generator whose clients start with the given addresses of entry instances.
func NewGenerator(settings *settingsv1.Standin, entryAddresses []string) *Generator {
	return &Generator{
		settings:       settings,
		entryAddresses: entryAddresses,
		stats:          mtloadstats.NewStats(),
	}
}

// Run sends calls until the context ends, waits for the calls in flight and returns the results.
func (g *Generator) Run(ctx context.Context) *mtloadstats.Stats {
	for _, load := range g.settings.GetLoads() {
		for _, centre := range g.settings.GetCentres() {
			rate := load.GetRate() / float64(len(g.settings.GetCentres()))
			g.group.Go(func() {
				client := mtcaller.NewClient(load.GetToken(), g.entryAddresses, mtcaller.WithCentre(centre))
				g.callAtRate(ctx, rate, func() {
					g.call(client, load)
				})
			})
		}
		g.group.Go(func() {
			client := mtcaller.NewClient(unapprovedToken, g.entryAddresses)
			g.callAtRate(ctx, load.GetRate()*unapprovedRatio, func() {
				g.callUnapproved(client, load)
			})
		})
	}
	g.group.Wait()
	g.stats.Close()
	return g.stats
}

// callAtRate starts calls with exponential intervals until the context ends, also while earlier calls are in flight.
// The rate is in calls per second.
func (g *Generator) callAtRate(ctx context.Context, rate float64, call func()) {
	nextCall := time.Now()
	for {
		nextCall = nextCall.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(nextCall)):
			g.group.Go(call)
		}
	}
}

// call sends one call of an approved team and records its result.
func (g *Generator) call(client *mtcaller.Client, load *settingsv1.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	// The network delay between the caller and the entry instance is not latency of the product, so the added latency
	// leaves it out.
	time.Sleep(g.settings.GetClient().AsDuration())
	defer time.Sleep(g.settings.GetClient().AsDuration())
	started := time.Now()
	answer, err := client.Do(ctx, newCall(load, nonce))
	elapsed := time.Since(started)
	switch {
	case err == nil && answer.Outcome == "":
		workUs, _ := strconv.ParseInt(answer.Header.Get(mtfakeendpoint.WorkHeader), 10, 64)
		g.stats.RecordAnswer(elapsed-time.Duration(workUs)*time.Microsecond, isCorrect(answer, nonce))
	case err == nil && answer.Outcome == mtoutcome.NotRun, errorx.IsOfType(err, mtcaller.NotRun):
		g.stats.RecordRefusal(nonce, reasonOf(answer, err))
	default:
		g.stats.RecordUnknown(reasonOf(answer, err))
	}
}

// reasonOf returns the type name of the error, or the reason in the answer if there is no error.
func reasonOf(answer *mtcaller.Answer, err error) string {
	if err != nil {
		return errorx.GetTypeName(err)
	}
	return answer.Reason
}

func newCall(load *settingsv1.Load, nonce string) mtcaller.Call {
	return mtcaller.Call{
		Service: load.GetService(),
		Method:  load.GetMethod(),
		Header: http.Header{
			mtfakeendpoint.NonceHeader: {nonce},
			"Content-Type":             {"application/json"},
		},
		Body:       []byte(`{"nonce":"` + nonce + `"}`),
		Idempotent: !load.GetOnce(),
	}
}

// isCorrect reports whether an answer belongs to the call with the nonce. An error status of an endpoint counts as
// correct.
func isCorrect(answer *mtcaller.Answer, nonce string) bool {
	if answer.Status != http.StatusOK {
		return true
	}
	return bytes.HasPrefix(answer.Body, []byte(nonce+"\n"+`{"nonce":"`+nonce+`"}`))
}

// callUnapproved sends one call with the token of no team and records whether it was answered.
func (g *Generator) callUnapproved(client *mtcaller.Client, load *settingsv1.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := client.Do(ctx, newCall(load, "stranger"))
	g.stats.RecordUnapproved(err == nil && answer.Outcome == "")
}
