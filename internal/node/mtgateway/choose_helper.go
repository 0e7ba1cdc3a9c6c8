package mtgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangotack/mangotack/internal/adapter/mtupstream"
	"github.com/mangotack/mangotack/internal/core/mthelper"
	"github.com/mangotack/mangotack/internal/core/mtsteering"
)

// helperChooser chooses the instances that requests are passed on to; its mutex is a leaf.
type helperChooser struct {
	mu     sync.Mutex
	memory *mthelper.Memory
	random *rand.Rand
}

func newHelperChooser() *helperChooser {
	return &helperChooser{
		memory: mthelper.NewMemory(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// withoutFailed returns the candidates that have not recently declined a request for a service, nor left one unanswered.
func (h *helperChooser) withoutFailed(service string, candidates []mtsteering.Candidate, now time.Time) []mtsteering.Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.DeleteFunc(candidates, func(candidate mtsteering.Candidate) bool {
		return h.memory.HasFailed(service, candidate.Name, now)
	})
}

// choose returns one of the helpers for a service, of which there must be one at least.
func (h *helperChooser) choose(
	service string, helpers []mtsteering.Candidate, capacity func(mtsteering.Candidate) float64, now time.Time,
) mtsteering.Candidate {
	options := make([]mthelper.Helper, 0, len(helpers))
	for _, helper := range helpers {
		options = append(options, mthelper.Helper{
			Name:     helper.Name,
			Capacity: capacity(helper),
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	chosen := h.memory.Choose(service, options, now, h.random)
	return helpers[slices.Index(options, chosen)]
}

func (h *helperChooser) recordSent(helper string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory.RecordSent(helper)
}

// recordResult records the result of a request that was passed on.
func (h *helperChooser) recordResult(ctx context.Context, service string, result attemptResult, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case result.reply != nil && !isDeclined(result):
		h.memory.RecordAnswered(service, result.helper, now)
	case result.reply == nil && (ctx.Err() != nil || errors.Is(result.err, mtupstream.ErrSendNotAllowed)):
		h.memory.RecordCancelled(result.helper)
	default:
		h.memory.RecordFailed(service, result.helper, now)
	}
}

// pickHelper returns an instance to pass a request for a service on to; found is false if this instance reaches the
// service itself, or no other instance is known to.
func (g *Gateway) pickHelper(service string, tried []string, now time.Time) (helper mtsteering.Candidate, found bool) {
	if !slices.Contains(g.currentLostServices(), service) {
		return mtsteering.Candidate{}, false
	}
	var receivers []mtsteering.Candidate
	if current := g.receivers.Load(); current != nil {
		receivers = current.receivers
	}
	candidates := g.candidates(now)
	capacity := mtsteering.RequestCapacities(candidates)
	untried := slices.DeleteFunc(candidates, func(candidate mtsteering.Candidate) bool {
		return slices.Contains(tried, candidate.Name)
	})
	untried = g.helpers.withoutFailed(service, untried, now)
	helpers := mtsteering.SelectHelpers(untried, receivers, g.settings().Instance, service)
	if len(helpers) == 0 {
		return mtsteering.Candidate{}, false
	}
	return g.helpers.choose(service, helpers, capacity, now), true
}
