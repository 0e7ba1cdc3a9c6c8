package mtlogsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the reader of the output, about 300 KB.
	maxQueuedLines = 1000
	// flushTimeout bounds the time in which Close writes the queued lines.
	flushTimeout = 300 * time.Millisecond
)

// Sink is an io.Writer that queues lines for one writing goroutine and drops lines while the queue is full.
type Sink struct {
	lines chan []byte
	// unreportedDrops counts the dropped lines that no line in the output has reported yet.
	unreportedDrops atomic.Int64
	// totalDrops counts all dropped lines.
	totalDrops atomic.Int64
	closing    chan struct{}
	done       chan struct{}
}

// NewSink returns a sink that writes to output, and starts its writing goroutine.
func NewSink(output io.Writer) *Sink {
	sink := &Sink{
		lines:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go sink.writeLines(output)
	return sink
}

// Write queues one line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.unreportedDrops.Add(1)
		s.totalDrops.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines dropped since the start.
func (s *Sink) DroppedLines() int64 {
	return s.totalDrops.Load()
}

// Close writes the queued lines and returns after flushTimeout at the latest.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

func (s *Sink) writeLines(output io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(output, line)
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.writeLine(output, line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped before it. Errors are ignored, because there is no
// other output to report them to.
func (s *Sink) writeLine(output io.Writer, line []byte) {
	if dropped := s.unreportedDrops.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(output,
			"{\"event\":110,\"level\":\"warning\",\"msg\":\"log lines dropped because the reader of the log is too slow\",\"lines\":%d}\n",
			dropped)
	}
	_, _ = output.Write(line)
}
