package ingress

import "time"

// Pace is the progress that a body must make: MinBytes within each Window, and its end within Limit.
type Pace struct {
	MinBytes      int64
	Window, Limit time.Duration
}

// pacer applies a Pace to one body. It reads no clock.
type pacer struct {
	pace  Pace
	start time.Time
	mark  time.Time // when the last MinBytes were complete
	bytes int64     // since mark
}

func newPacer(p Pace, now time.Time) pacer { return pacer{pace: p, start: now, mark: now} }

// add notes received bytes and reports whether they complete MinBytes.
func (p *pacer) add(n int64, now time.Time) bool {
	p.bytes += n
	if p.bytes < p.pace.MinBytes {
		return false
	}
	p.mark, p.bytes = now, 0
	return true
}

// pause leaves out a time in which nothing was read.
func (p *pacer) pause(d time.Duration) { p.mark = p.mark.Add(d) }

// deadline returns when the next bytes must have arrived.
func (p *pacer) deadline() time.Time {
	window, limit := p.mark.Add(p.pace.Window), p.start.Add(p.pace.Limit)
	if limit.Before(window) {
		return limit
	}
	return window
}
