package mtplacer

import "time"

const (
	// The weights of one sample in the moving means.
	paceWeight  = 0.02
	takenWeight = 0.05
	workWeight  = 0.05
	// turnedWeight forgets half in some twenty requests, which is a third of a second at sixty a second.
	turnedWeight = 0.03
	// workGuess is the part of the objective that an answer is thought to take before the first one is seen.
	workGuess = 0.4
	// workDefault is the guess for a route without an objective.
	workDefault = 100 * time.Millisecond
)

// mean is a moving mean.
type mean struct {
	value float64
	// known is set once there was a sample or a guess to start from.
	known  bool
	weight float64
	// guessed is set when the start was a guess, which counts as one sample; count is the number of true ones.
	guessed bool
	count   int
}

func (m *mean) add(sample float64) {
	if !m.known {
		m.value = sample
		m.known = true
		return
	}
	weight := m.weight
	if m.guessed {
		m.count++
		weight = max(weight, 1/float64(m.count+1))
	}
	m.value += weight * (sample - m.value)
}

// work is the time that requests of one route take at an idle endpoint on a host of the usual speed.
type work struct {
	mean mean
	// size is the size of an answer in bytes.
	size mean
	// granted is when a request was last sent; zero before the first.
	granted time.Time
	// blocked is the number of requests since then that were turned away because no host could end them in time.
	blocked int
	// trial is set while a request is under way that was sent because the estimate had turned all others away.
	trial bool
}

func newWork(objective time.Duration) *work {
	guess := time.Duration(workGuess * float64(objective))
	if objective <= 0 {
		guess = workDefault
	}
	return &work{
		mean: mean{
			value:   float64(guess),
			known:   true,
			guessed: true,
			weight:  workWeight,
		},
		size: mean{
			weight: workWeight,
		},
	}
}

func (w *work) value() time.Duration {
	return time.Duration(w.mean.value)
}

func (w *work) learn(sample time.Duration) {
	if w.trial {
		// The estimate had turned all requests away, and this one was served.
		w.mean.value = float64(sample)
		w.mean.count = 0
		w.trial = false
	}
	w.mean.add(float64(sample))
}

func (p *Placer) workOf(request *Request) *work {
	found := p.works[request.Route]
	if found == nil {
		found = newWork(request.Objective.Sub(request.Arrived))
		p.works[request.Route] = found
	}
	return found
}
