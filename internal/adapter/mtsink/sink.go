package mtsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a reader of standard output, some 300 KB.
	queueLines = 1000
	// flushTimeout bounds the writing of what waits at the end.
	flushTimeout = 300 * time.Millisecond
)

// Sink is a writer that queues lines for one goroutine and drops those that find the queue full.
type Sink struct {
	lines chan []byte
	// dropped are the lines that no line has told of yet, and total all of them.
	dropped atomic.Int64
	total   atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// NewSink returns a sink that writes to an output.
func NewSink(output io.Writer) *Sink {
	sink := &Sink{
		lines:   make(chan []byte, queueLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go sink.run(output)
	return sink
}

// Write queues one line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		s.total.Add(1)
	}
	return len(line), nil
}

// Total returns the number of lines that were dropped since the start.
func (s *Sink) Total() int64 {
	return s.total.Load()
}

// Close writes what waits, for a short time.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

func (s *Sink) run(output io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.put(output, line)
		case <-s.closing:
			for {
				select {
				case line := <-s.lines:
					s.put(output, line)
				default:
					return
				}
			}
		}
	}
}

// put writes a line, and how many were dropped before it; an output that fails has no other place to tell it.
func (s *Sink) put(output io.Writer, line []byte) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(output, "{\"event\":110,\"level\":\"warning\",\"msg\":\"log lines dropped, the reader of the log is slow\",\"lines\":%d}\n", dropped)
	}
	_, _ = output.Write(line)
}
