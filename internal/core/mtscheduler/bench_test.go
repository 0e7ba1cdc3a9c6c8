package mtscheduler

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkScheduler measures the cost of a choice in a small and a large pool, and with a queue in front of a full
// pool.
func BenchmarkScheduler(b *testing.B) {
	for _, size := range []int{14, 300} {
		for _, waiting := range []int{0, 60} {
			b.Run(fmt.Sprintf("endpoints=%d/waiting=%d", size, waiting), func(b *testing.B) {
				now := t0
				var endpoints []*Endpoint
				for i := range size {
					busy := 0
					if waiting > 0 {
						busy = 2
					}
					endpoints = append(endpoints, newEndpoint(fmt.Sprint(i), 2).withReport(busy, 1, now))
				}
				scheduler := newTestScheduler(endpoints...)
				for id := range waiting {
					scheduler.insert(newRequest(uint64(id+1), now))
				}
				for b.Loop() {
					request := newRequest(1000, now)
					if scheduler.Enqueue(request, now) == nil {
						for _, assignment := range scheduler.Schedule(now).Assignments {
							scheduler.Complete(assignment, "r", AttemptResult{
								Verdict:      Served,
								ResponseTime: 100 * time.Millisecond,
							}, now)
						}
						scheduler.Cancel(1000)
					} else {
						scheduler.Schedule(now)
					}
				}
			})
		}
	}
}
