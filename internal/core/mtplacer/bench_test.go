package mtplacer

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBind shows what a choice costs in a small and a large pool, and with a queue before a full pool.
func BenchmarkBind(b *testing.B) {
	for _, size := range []int{14, 300} {
		for _, waiting := range []int{0, 60} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size, waiting), func(b *testing.B) {
				now := t0
				var targets []*Target
				for i := range size {
					busy := 0
					if waiting > 0 {
						busy = 2
					}
					targets = append(targets, newTarget(fmt.Sprint(i), 2).withReport(busy, 1, now))
				}
				placer := newTestPlacer(targets...)
				for id := range waiting {
					placer.insert(newRequest(uint64(id+1), now))
				}
				for b.Loop() {
					request := newRequest(1000, now)
					if placer.Offer(request, now) == nil {
						for _, grant := range placer.Bind(now).Grants {
							placer.End(grant, "r", Result{
								Verdict: Served,
								Took:    100 * time.Millisecond,
							}, now)
						}
						placer.Cancel(1000)
					} else {
						placer.Bind(now)
					}
				}
			})
		}
	}
}
