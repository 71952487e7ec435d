// Package logs provides an asynchronous log writer that never blocks, limits the rate and counts dropped lines.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of a Writer.
const (
	// queueLines is the queue's capacity: about 2 MB of lines of usual length, 1% of the smallest instance's memory.
	queueLines = 8192
	// queueBytes limits the queued lines, which may contain long addresses of requests.
	queueBytes = 2 << 20
	// LinesPerSecond limits the sustained rate and BurstLines the burst, at ten times what an owner writes in the
	// heaviest peak of today's deployments.
	LinesPerSecond = 4000
	BurstLines     = 8000
	// closeTimeout limits the wait of Close.
	closeTimeout = 500 * time.Millisecond
)

// Writer writes lines to another writer in the background.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	queued  atomic.Int64 // bytes
	close   sync.Once
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer of whole lines to out. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(LinesPerSecond, BurstLines),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails or blocks: it drops and counts lines over the rate or queue limit.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	if w.queued.Add(int64(len(line))) > queueBytes {
		w.queued.Add(-int64(len(line)))
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-int64(len(line)))
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines not yet reported in the log.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines. It gives up after closeTimeout.
func (w *Writer) Close() {
	w.close.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	w.queued.Add(-int64(len(line)))
	if n := w.dropped.Swap(0); n > 0 {
		line = append(fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", n), line...)
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1) // reported with the next line that can be written
	}
}
