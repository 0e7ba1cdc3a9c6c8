package mtgateway

import (
	"github.com/sirupsen/logrus"

	"github.com/mangotack/mangotack/internal/adapter/mtevent"
	"github.com/mangotack/mangotack/internal/adapter/mtingress"
	"github.com/mangotack/mangotack/internal/core/mtmemory"
)

// relayedResponsesRatio is the part of the memory for responses that is for responses of other instances.
const relayedResponsesRatio = 0.25

// divideMemory divides the memory of the process between its uses.
func (g *Gateway) divideMemory(settings *Settings) {
	g.division = mtmemory.Divide(settings.MemoryMB, settings.MaxDescriptors)
	g.memory = mtingress.NewMemory(g.division)
	relayed := int64(float64(g.division.Responses) * relayedResponsesRatio)
	g.endpointPool.LimitBuffers(g.division.Responses - relayed)
	g.relayPool.LimitBuffers(relayed)
	for _, f := range g.feeds.byNumber {
		f.history.maxBytes = g.division.History / feedCount
	}
	for name, read := range map[string]func(counts mtmemory.Counts) float64{
		`mangotack_gateway_memory_bytes{part="ordinary"}`: func(counts mtmemory.Counts) float64 { return float64(counts.OrdinaryBytes) },
		`mangotack_gateway_memory_bytes{part="large"}`:    func(counts mtmemory.Counts) float64 { return float64(counts.LargeBytes) },
		`mangotack_gateway_memory_waiting`:                func(counts mtmemory.Counts) float64 { return float64(counts.Waiting) },
		`mangotack_gateway_callers_connections`:           func(counts mtmemory.Counts) float64 { return float64(counts.Connections) },
		`mangotack_gateway_memory_actions_total{action="refused"}`: func(counts mtmemory.Counts) float64 {
			return float64(counts.Refused)
		},
		`mangotack_gateway_memory_actions_total{action="evicted"}`: func(counts mtmemory.Counts) float64 {
			return float64(counts.Evicted)
		},
		`mangotack_gateway_memory_actions_total{action="closed"}`: func(counts mtmemory.Counts) float64 {
			return float64(counts.Closed)
		},
	} {
		g.metrics.addGauge(name, func() float64 {
			return read(g.memory.Counts())
		})
	}
}

// MemoryLimit returns the limit of the Go runtime's memory that follows from the settings, in bytes.
func (g *Gateway) MemoryLimit() int64 {
	return g.division.Runtime
}

// logMemory logs whom the bound of the memory has turned away since the last call.
func (g *Gateway) logMemory() {
	counts := g.memory.Counts()
	previous := g.loggedMemory
	g.loggedMemory = counts
	if counts.Refused > previous.Refused || counts.Evicted > previous.Evicted {
		mtevent.MemoryShort.Log(g.logger, logrus.Fields{
			"refused":  counts.Refused - previous.Refused,
			"evicted":  counts.Evicted - previous.Evicted,
			"waiting":  counts.Waiting,
			"ordinary": counts.OrdinaryBytes,
			"large":    counts.LargeBytes,
			"of":       g.division.Callers,
		})
	}
	if counts.Closed > previous.Closed {
		mtevent.ConnectionsLimited.Log(g.logger, logrus.Fields{
			"closed": counts.Closed - previous.Closed,
			"limit":  g.division.Connections,
		})
	}
}
