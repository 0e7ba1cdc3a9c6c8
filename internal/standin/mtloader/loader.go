package mtloader

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
	"github.com/mangotack/mangotack/internal/standin/mttally"
	"github.com/mangotack/mangotack/internal/standin/mtworkserver"
	"github.com/mangotack/mangotack/pkg/mtcaller"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const (
	callTimeout = 5 * time.Second
	// strangerToken belongs to no team of any contract.
	strangerToken = "token-of-nobody"
	// strangerPart is the part of the rate that an unapproved team adds.
	strangerPart = 0.02
)

// Loader makes the calls of all loads at their rates.
type Loader struct {
	settings *settingsv1.Standin
	entries  []string
	tally    *mttally.Tally
	group    sync.WaitGroup
}

// NewLoader returns a loader that knows some addresses of entry instances.
func NewLoader(settings *settingsv1.Standin, entries []string) *Loader {
	return &Loader{
		settings: settings,
		entries:  entries,
		tally:    mttally.NewTally(),
	}
}

// Run calls until the context ends, waits for the last answers and returns the tally.
func (l *Loader) Run(ctx context.Context) *mttally.Tally {
	for _, load := range l.settings.GetLoads() {
		for _, centre := range l.settings.GetCentres() {
			rate := load.GetRate() / float64(len(l.settings.GetCentres()))
			l.group.Go(func() {
				client := mtcaller.NewClient(load.GetToken(), l.entries, mtcaller.WithCentre(centre))
				l.pace(ctx, rate, func() {
					l.call(client, load)
				})
			})
		}
		l.group.Go(func() {
			client := mtcaller.NewClient(strangerToken, l.entries)
			l.pace(ctx, load.GetRate()*strangerPart, func() {
				l.strange(client, load)
			})
		})
	}
	l.group.Wait()
	l.tally.Close()
	return l.tally
}

// pace starts calls with exponential gaps, whether or not earlier ones have ended.
func (l *Loader) pace(ctx context.Context, rate float64, call func()) {
	next := time.Now()
	for {
		next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
			l.group.Go(call)
		}
	}
}

func (l *Loader) call(client *mtcaller.Client, load *settingsv1.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	// The way from the caller and back is no latency of the product, so it is left out of what is added.
	time.Sleep(l.settings.GetClient().AsDuration())
	defer time.Sleep(l.settings.GetClient().AsDuration())
	started := time.Now()
	answer, err := client.Do(ctx, request(load, nonce))
	took := time.Since(started)
	switch {
	case err == nil && answer.Outcome == "":
		work, _ := strconv.ParseInt(answer.Header.Get(mtworkserver.WorkHeader), 10, 64)
		l.tally.Answer(took-time.Duration(work)*time.Microsecond, isRight(answer, nonce))
	case err == nil && answer.Outcome == mtoutcome.NotRun, errorx.IsOfType(err, mtcaller.NotRun):
		l.tally.Refuse(nonce, reasonOf(answer, err))
	default:
		l.tally.Lose(reasonOf(answer, err))
	}
}

func reasonOf(answer *mtcaller.Answer, err error) string {
	if err != nil {
		return errorx.GetTypeName(err)
	}
	return answer.Reason
}

func request(load *settingsv1.Load, nonce string) mtcaller.Call {
	return mtcaller.Call{
		Service: load.GetService(),
		Method:  load.GetMethod(),
		Header: http.Header{
			mtworkserver.NonceHeader: {nonce},
			"Content-Type":           {"application/json"},
		},
		Body:       []byte(`{"nonce":"` + nonce + `"}`),
		Idempotent: !load.GetOnce(),
	}
}

// isRight accepts the own answer, and a failure that an endpoint stated.
func isRight(answer *mtcaller.Answer, nonce string) bool {
	if answer.Status != http.StatusOK {
		return true
	}
	return bytes.HasPrefix(answer.Body, []byte(nonce+"\n"+`{"nonce":"`+nonce+`"}`))
}

func (l *Loader) strange(client *mtcaller.Client, load *settingsv1.Load) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := client.Do(ctx, request(load, "stranger"))
	l.tally.Strange(err == nil && answer.Outcome == "")
}
