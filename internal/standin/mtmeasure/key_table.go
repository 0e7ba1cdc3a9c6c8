package mtmeasure

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/mangotack/mangotack/internal/core/mtdedup"
	"github.com/mangotack/mangotack/internal/core/mtticket"
	"github.com/mangotack/mangotack/internal/node/mtkeytable"
	"github.com/mangotack/mangotack/pkg/mtoutcome"
)

const million = 1_000_000

// KeyTableOverhead measures the processor time and the memory that the table of idempotency keys takes per key.
func KeyTableOverhead() []Measurement {
	return []Measurement{
		{
			Name:  "ticket check, begin and end of a key",
			Value: keyCheckNs(),
			Unit:  "ns",
		},
		{
			Name:  "memory of a kept key at 1,000,000 keys",
			Value: bytesPerKey(),
			Unit:  "bytes",
		},
	}
}

// keyCheckNs returns the time to check the ticket of a key and to begin and end the key in the table, in nanoseconds.
func keyCheckNs() float64 {
	now := time.Now()
	keys := mtkeytable.NewTable("entry-1", 1, now, mtdedup.WithLimits(100*million, 100*million))
	ticket := mtticket.Ticket{
		Instance:    "entry-1",
		Incarnation: 1,
		Expiry:      keys.TicketExpiry(now),
	}
	prefix := ticket.String() + "-"
	result := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			key := prefix + strconv.Itoa(i)
			parsed, _, err := mtticket.Parse(key)
			if err != nil || !keys.Owns(parsed) {
				b.Fatal("the ticket was not issued by this instance")
			}
			// Begin refuses a key of an earlier benchmark round, which costs the same look-up.
			_, _ = keys.Begin("acme/hosts", key, [sha256.Size]byte{}, parsed, now)
			keys.End("acme/hosts", key, mtoutcome.Answered)
		}
	})
	return float64(result.T.Nanoseconds()) / float64(result.N)
}

// bytesPerKey returns the heap memory per key of a table with a million keys, or 0 if the table refuses a key.
func bytesPerKey() float64 {
	now := time.Now()
	table := mtdedup.NewTable(mtdedup.WithLimits(2*million, 2*million))
	heapBefore := heapBytes()
	for i := range million {
		key := fmt.Sprintf("entry-1.18c2f0a1b2c3d4e5.6931a1c0-%012d", i)
		if _, err := table.Begin("acme/hosts", key, [sha256.Size]byte{}, now.Add(time.Minute), now); err != nil {
			return 0
		}
	}
	heapAfter := heapBytes()
	runtime.KeepAlive(table)
	return float64(heapAfter-heapBefore) / million
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
