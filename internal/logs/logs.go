// Package logs writes log lines beside the work that they tell of: it never blocks, bounds the rate, and counts what it
// drops.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of a Writer.
const (
	// queued lines wait at most: some 2 MB at the usual length, a hundredth of the smallest instance's memory.
	queued = 8192
	// LinesPerSecond bounds the sustained rate, Burst what may come at once: ten times what an owner writes in the
	// heaviest peak of today's deployments.
	LinesPerSecond = 4000
	Burst          = 8000
	// closeWait bounds the wait for the last lines.
	closeWait = 500 * time.Millisecond
)

// Writer passes lines on to another writer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	close   sync.Once
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer of whole lines to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queued), limit: rate.NewLimiter(LinesPerSecond, Burst),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails and never waits: a line that finds no room is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not yet reported in the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, for a short time at most.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.pass(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) pass(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n), line...)
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // reported with the next line that can be written
	}
}
