package mtstrain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An instance that runs five times slower falls behind its load, so that its timers wait for the work before them.
func TestStrainIsNoticedWithinASecondAndLastsAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	strain := Strain{}
	for range 100 {
		due := now.Add(250 * time.Millisecond)
		now = due.Add(4 * time.Millisecond)
		strain.Woke(due, now)
		require.False(t, strain.IsStrained(now), "some lateness is usual")
	}
	began := now
	for !strain.IsStrained(now) {
		due := now.Add(250 * time.Millisecond)
		now = due.Add(60 * time.Millisecond)
		strain.Woke(due, now)
		require.Less(t, now.Sub(began), time.Second)
	}
	require.True(t, strain.IsStrained(now.Add(strainLife-1)))
	require.False(t, strain.IsStrained(now.Add(strainLife)))
}
