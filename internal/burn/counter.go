// Package burn computes burn rates and error budgets of service-level objectives. Each entry instance counts the
// requests that it answered in sliding windows of bounded memory; the reports of several instances can be merged.
package burn

import (
	"sync"
	"time"
)

// Windows of every objective, in addition to its own.
const (
	Minute      = 1 * time.Minute
	FiveMinutes = 5 * time.Minute
	Hour        = 1 * time.Hour
	SixHours    = 6 * time.Hour
	Day         = 24 * time.Hour
)

// fixedWindows are the windows of every objective, shortest first.
var fixedWindows = []time.Duration{Minute, FiveMinutes, Hour, SixHours, Day}

// ringBuckets is the number of buckets per window. A window is exact to one bucket, i.e. one part in 72: 20 minutes of
// a day, less than a second of a minute.
const ringBuckets = 72

// Bucket counts the requests of one interval.
type Bucket struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (b *Bucket) add(other Bucket) {
	b.Good += other.Good
	b.Bad += other.Bad
}

// ring counts requests in one sliding window, which consists of the current bucket and the ringBuckets-1 before it.
type ring struct {
	window  time.Duration
	buckets [ringBuckets]Bucket
	// newest is the number of the newest bucket since the Unix epoch. Bucket n is stored at index n modulo ringBuckets.
	newest int64
}

func (r *ring) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(r.window/ringBuckets)
}

// advance clears the buckets that start between the last call and now. If the clock goes back, it changes nothing.
func (r *ring) advance(now time.Time) {
	number := r.bucketNumber(now)
	if number <= r.newest {
		return
	}
	for n := max(r.newest+1, number-ringBuckets+1); n <= number; n++ {
		r.buckets[n%ringBuckets] = Bucket{}
	}
	r.newest = number
}

func (r *ring) add(b Bucket, now time.Time) {
	r.advance(now)
	r.buckets[r.newest%ringBuckets].add(b)
}

func (r *ring) sum(now time.Time) Bucket {
	r.advance(now)
	var total Bucket
	for _, b := range r.buckets {
		total.add(b)
	}
	return total
}

// history returns the buckets of the window, oldest first.
func (r *ring) history(now time.Time) []Bucket {
	r.advance(now)
	out := make([]Bucket, 0, ringBuckets)
	for n := r.newest + 1; n <= r.newest+ringBuckets; n++ {
		out = append(out, r.buckets[n%ringBuckets])
	}
	return out
}

// Counts is a snapshot of the counters of one objective.
type Counts struct {
	// Windows holds the totals in the order of fixedWindows, followed by the objective's own window.
	Windows []Bucket `json:"windows"`
	// History holds the buckets of the last day, oldest first.
	History []Bucket `json:"history"`
}

// counter counts one objective. Its size is fixed: six rings of 72 buckets, about 7 KB.
type counter struct {
	// mu protects rings.
	mu    sync.Mutex
	rings []*ring
}

// newCounter returns a counter for the fixed windows and the objective's own window.
func newCounter(objectiveWindow time.Duration) *counter {
	c := &counter{}
	for _, w := range append(append([]time.Duration(nil), fixedWindows...), objectiveWindow) {
		c.rings = append(c.rings, &ring{window: w})
	}
	return c
}

func (c *counter) objectiveWindow() time.Duration { return c.rings[len(fixedWindows)].window }

func (c *counter) observe(good bool, now time.Time) {
	b := Bucket{Bad: 1}
	if good {
		b = Bucket{Good: 1}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rings {
		r.add(b, now)
	}
}

func (c *counter) counts(now time.Time) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out Counts
	for _, r := range c.rings {
		out.Windows = append(out.Windows, r.sum(now))
	}
	out.History = c.rings[len(fixedWindows)-1].history(now)
	return out
}
