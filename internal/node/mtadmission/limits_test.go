package mtadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mangotack/mangotack/internal/core/mtcall"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
	"github.com/mangotack/mangotack/internal/node/mtadmission"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

const (
	limitRate = 600.0
	step      = 5 * time.Millisecond
	instances = 18
	rowDelay  = 3
)

// world is a set of admissions that hear each other's rows one to three rounds late, and counts what they admit.
type world struct {
	random     *rand.Rand
	admissions []*mtadmission.Admission
	alive      []bool
	heardDead  []int
	history    [][]*peerv1.Row
	admitted   []float64
	asked      []float64
	call       *mtcall.Call
}

func newWorld() *world {
	w := &world{
		random: rand.New(rand.NewPCG(7, 7)),
		call: &mtcall.Call{
			Customer: "acme",
			Team: &recordv1.Team{
				Name:  "hosts",
				Limit: &recordv1.Limit{Rate: limitRate},
			},
			Contract: &recordv1.Contract{Customer: "acme"},
		},
	}
	for i := range instances {
		w.admissions = append(w.admissions, mtadmission.NewAdmission())
		w.alive = append(w.alive, true)
		w.heardDead = append(w.heardDead, 0)
		w.history = append(w.history, []*peerv1.Row{{Instance: fmt.Sprint(i)}})
	}
	return w
}

// run lets time pass with a demand per instance in calls per second.
func (w *world) run(now time.Time, span time.Duration, demand func(i int, now time.Time) float64) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(step) {
		if now.UnixNano()%int64(time.Second) == 0 {
			w.round(now)
		}
		asked, admitted := 0.0, 0.0
		for i, admission := range w.admissions {
			if !w.alive[i] {
				continue
			}
			for range w.arrivals(demand(i, now) * step.Seconds()) {
				asked++
				if _, ok := admission.Admit(w.call, now); ok {
					admitted++
					admission.Release(w.call)
				}
			}
		}
		w.asked = append(w.asked, asked)
		w.admitted = append(w.admitted, admitted)
	}
	return now
}

// arrivals draws the number of calls of a step around a mean.
func (w *world) arrivals(mean float64) int {
	count := int(mean)
	if w.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}

func (w *world) round(now time.Time) {
	for i, admission := range w.admissions {
		if !w.alive[i] {
			w.heardDead[i]++
			continue
		}
		var others []*peerv1.Row
		for j, rows := range w.history {
			// A silent instance is suspected after three rounds, and its parts are free.
			if j != i && w.heardDead[j] <= 3 {
				others = append(others, rows[max(0, len(rows)-1-w.random.IntN(rowDelay))])
			}
		}
		w.history[i] = append(w.history[i], &peerv1.Row{
			Instance: fmt.Sprint(i),
			Shares:   admission.Adjust(others, time.Second, now),
		})
	}
}

// excess returns by how much the worst window of a length exceeds the limit, as a fraction.
func (w *world) excess(window time.Duration) float64 {
	size := int(window / step)
	worst, sum := 0.0, 0.0
	for i, count := range w.admitted {
		sum += count
		if i >= size {
			sum -= w.admitted[i-size]
		}
		worst = max(worst, sum/(limitRate*window.Seconds())-1)
	}
	return worst
}

// unused returns which part of what an all-knowing counter would have admitted was refused.
func (w *world) unused() float64 {
	second := int(time.Second / step)
	possible, used := 0.0, 0.0
	for i := 0; i+second <= len(w.asked); i += second {
		asked, admitted := 0.0, 0.0
		for j := range second {
			asked += w.asked[i+j]
			admitted += w.admitted[i+j]
		}
		possible += min(asked, limitRate)
		used += min(admitted, limitRate)
	}
	return 1 - used/possible
}

func (w *world) forget() {
	w.admitted = nil
	w.asked = nil
}

var start = time.Unix(1_800_000_000, 0)

func TestLimitsAgainstAnAllKnowingCounter(t *testing.T) {
	skewed := func(i int, _ time.Time) float64 { return []float64{500, 300, 100, 50}[min(3, i)] }
	cases := map[string]func(i int, now time.Time) float64{
		"even and over the limit":   func(int, time.Time) float64 { return 50 },
		"skewed and over the limit": skewed,
		"three instances of a crew": func(i int, _ time.Time) float64 {
			if i < 3 {
				return 300
			}
			return 0
		},
		"below the limit": func(i int, now time.Time) float64 { return skewed(i, now) * 0.3 },
	}
	for name, demand := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld()
			now := w.run(start, 20*time.Second, demand)
			w.forget()
			w.run(now, 30*time.Second, demand)
			t.Logf("over in 1 s: %.1f%%, unused: %.1f%%", 100*w.excess(time.Second), 100*w.unused())
			require.LessOrEqual(t, w.excess(time.Second), 0.05)
			require.LessOrEqual(t, w.unused(), 0.05)
		})
	}
}

func TestLimitsWhileAnInstanceDiesAndItsCallersMove(t *testing.T) {
	w := newWorld()
	crew := func(members ...int) func(i int, now time.Time) float64 {
		return func(i int, _ time.Time) float64 {
			for _, member := range members {
				if i == member {
					return 300
				}
			}
			return 0
		}
	}
	now := w.run(start, 20*time.Second, crew(0, 1, 2))
	w.forget()
	w.alive[2] = false
	now = w.run(now, 10*time.Second, crew(0, 1, 3))
	t.Logf("over in 2 s: %.1f%%, unused: %.1f%%", 100*w.excess(2*time.Second), 100*w.unused())
	require.LessOrEqual(t, w.excess(2*time.Second), 0.20)
	w.forget()
	w.run(now, 20*time.Second, crew(0, 1, 3))
	require.LessOrEqual(t, w.unused(), 0.05)
}

// A paused instance wakes up and must not use the parts that the others have taken over.
func TestPausedInstanceHasLostItsParts(t *testing.T) {
	w := newWorld()
	now := w.run(start, 20*time.Second, func(int, time.Time) float64 { return 50 })
	paused := w.admissions[0]
	now = now.Add(time.Minute)
	admitted := 0
	for range 1000 {
		if _, ok := paused.Admit(w.call, now); ok {
			admitted++
		}
	}
	require.LessOrEqual(t, admitted, 1)
}
