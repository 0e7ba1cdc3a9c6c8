// The load pattern: few instances with narrow links carry the responses of a large fleet, of which a tenth make up most of
// the bytes. Responses that wait in the link are late whatever they are, and nobody can put one before another or refuse
// any. Requests that wait for the link before they are sent can be ordered, refused and passed on.

package mtbandwidth

import (
	"math"
	"time"
)

const (
	// maxUsableRatio is the part of the link that responses may use at most; the rest is for requests, handshakes and gossip.
	maxUsableRatio = 0.85
	// minUsableRatio keeps a link with few large responses in use.
	minUsableRatio = 0.25
	// targetWait is how long responses should wait in the link for others on average.
	targetWait = 25 * time.Millisecond
	// burstTime is how much of an unused link is saved up.
	burstTime = 100 * time.Millisecond
	// lateReserveRatio is the part of the burst that is kept for requests that can still be on time.
	lateReserveRatio = 0.5
	// sizeWeight is the weight of one response in the mean sizes.
	sizeWeight = 0.02

	bytesPerMegabit = 1e6 / 8
)

// Limiter determines when a request may be sent so that the link can carry its response. It is not safe for concurrent use.
type Limiter struct {
	// linkBytesPerSecond is 0 if the link is not known; nothing is limited then.
	linkBytesPerSecond float64
	// bytesPerSecond is what responses may use of the link.
	bytesPerSecond float64
	// balance is the number of bytes that may be asked for at once. It is negative while more was asked for.
	balance float64
	at      time.Time
	// meanBytes and meanSquare are the means of the sizes of responses and of their squares.
	meanBytes  float64
	meanSquare float64
}

// NewLimiter returns a limiter for a link of a number of megabits a second, or 0 if it is not known.
func NewLimiter(megabitsPerSecond float64) *Limiter {
	limiter := &Limiter{}
	limiter.SetLink(megabitsPerSecond)
	limiter.balance = limiter.burst()
	return limiter
}

// SetLink changes the number of megabits a second, which is 0 if it is not known.
func (l *Limiter) SetLink(megabitsPerSecond float64) {
	if !(megabitsPerSecond > 0) || math.IsInf(megabitsPerSecond, 1) {
		megabitsPerSecond = 0
	}
	l.linkBytesPerSecond = megabitsPerSecond * bytesPerMegabit
	l.bytesPerSecond = l.usableRatio() * l.linkBytesPerSecond
}

// usableRatio returns the part of the link that can be used while responses wait for targetWait on average. The wait in a
// queue is the mean residual time of a response, times the ratio in use, divided by the unused one.
func (l *Limiter) usableRatio() float64 {
	if l.meanBytes == 0 || l.linkBytesPerSecond == 0 {
		return maxUsableRatio
	}
	residual := l.meanSquare / (2 * l.meanBytes) / l.linkBytesPerSecond
	return max(minUsableRatio, min(maxUsableRatio, targetWait.Seconds()/(targetWait.Seconds()+residual)))
}

func (l *Limiter) burst() float64 {
	return l.bytesPerSecond * burstTime.Seconds()
}

func (l *Limiter) refill(now time.Time) {
	if !l.at.IsZero() && now.After(l.at) {
		l.balance = min(l.burst(), l.balance+l.bytesPerSecond*now.Sub(l.at).Seconds())
	}
	if now.After(l.at) {
		l.at = now
	}
}

// Wait returns how long a request must wait until it may be sent, whose response is expected to have a number of bytes,
// behind others whose responses have bytesAhead; isLate is set for one that can't be on time.
//
// A small response does not wait for the time that a large one takes, unless the link is asked for more than a burst.
func (l *Limiter) Wait(expectedBytes, bytesAhead float64, isLate bool, now time.Time) time.Duration {
	if l.linkBytesPerSecond == 0 {
		return 0
	}
	l.refill(now)
	missing := bytesAhead - l.balance
	if isLate {
		missing += lateReserveRatio * l.burst()
	} else {
		missing -= max(0, l.burst()-expectedBytes)
	}
	if missing < 0 {
		return 0
	}
	// The microsecond makes up for rounding down.
	return time.Duration(missing/l.bytesPerSecond*float64(time.Second)) + time.Microsecond
}

// Reserve records that a request was sent whose response is expected to have a number of bytes.
func (l *Limiter) Reserve(expectedBytes float64, now time.Time) {
	if l.linkBytesPerSecond == 0 {
		return
	}
	l.refill(now)
	l.balance -= expectedBytes
}

// Settle corrects a reservation by the size of the response, which is 0 if there was none.
func (l *Limiter) Settle(expectedBytes, actualBytes float64, now time.Time) {
	if l.linkBytesPerSecond == 0 {
		return
	}
	l.refill(now)
	if actualBytes > 0 {
		l.recordSize(actualBytes)
	}
	l.balance = min(l.burst(), l.balance+expectedBytes-actualBytes)
}

func (l *Limiter) recordSize(bytes float64) {
	weight := sizeWeight
	if l.meanBytes == 0 {
		weight = 1
	}
	l.meanBytes += weight * (bytes - l.meanBytes)
	l.meanSquare += weight * (bytes*bytes - l.meanSquare)
	l.bytesPerSecond = l.usableRatio() * l.linkBytesPerSecond
}
