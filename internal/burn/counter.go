// Package burn measures how fast the error budgets of service-level objectives are used up. Every entry instance counts
// the requests that it answered in sliding windows of bounded memory; reports of several can be merged.
package burn

import (
	"sync"
	"time"
)

// Windows that every objective is counted in, besides its own.
const (
	Minute      = 1 * time.Minute
	FiveMinutes = 5 * time.Minute
	Hour        = 1 * time.Hour
	SixHours    = 6 * time.Hour
	Day         = 24 * time.Hour
)

// fixedWindows are the windows of every objective, shortest first.
var fixedWindows = []time.Duration{Minute, FiveMinutes, Hour, SixHours, Day}

// ringBuckets is the number of parts of a window. A window is exact to one part in 72: 20 minutes of a day, and less
// than a second of a minute.
const ringBuckets = 72

// Bucket counts requests.
type Bucket struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
}

func (b *Bucket) add(other Bucket) {
	b.Good += other.Good
	b.Bad += other.Bad
}

// ring counts one sliding window in ringBuckets parts. The sum covers the current part and the ringBuckets-1 before it.
type ring struct {
	window  time.Duration
	buckets [ringBuckets]Bucket
	// head is the number of the newest part since the Unix epoch; the part n is kept at n modulo ringBuckets.
	head int64
}

func (r *ring) part(now time.Time) int64 {
	return now.UnixNano() / int64(r.window/ringBuckets)
}

// advance empties the parts that begin between the last call and now. A clock that goes back keeps the newest part.
func (r *ring) advance(now time.Time) {
	part := r.part(now)
	if part <= r.head {
		return
	}
	for n := max(r.head+1, part-ringBuckets+1); n <= part; n++ {
		r.buckets[n%ringBuckets] = Bucket{}
	}
	r.head = part
}

func (r *ring) add(b Bucket, now time.Time) {
	r.advance(now)
	r.buckets[r.head%ringBuckets].add(b)
}

func (r *ring) sum(now time.Time) Bucket {
	r.advance(now)
	var total Bucket
	for _, b := range r.buckets {
		total.add(b)
	}
	return total
}

// parts returns the parts of the window, oldest first.
func (r *ring) parts(now time.Time) []Bucket {
	r.advance(now)
	out := make([]Bucket, 0, ringBuckets)
	for n := r.head + 1; n <= r.head+ringBuckets; n++ {
		out = append(out, r.buckets[n%ringBuckets])
	}
	return out
}

// Counts are the counters of one objective at one time.
type Counts struct {
	// Windows are in the order of fixedWindows; the last is the objective's own window.
	Windows []Bucket `json:"windows"`
	// History are the parts of the last day, oldest first.
	History []Bucket `json:"history"`
}

// counter counts one objective. Its size is fixed: six rings of 72 buckets, about 7 KB.
type counter struct {
	// mu protects rings.
	mu    sync.Mutex
	rings []*ring
}

// newCounter counts in the fixed windows and in the window of the objective.
func newCounter(own time.Duration) *counter {
	c := &counter{}
	for _, w := range append(append([]time.Duration(nil), fixedWindows...), own) {
		c.rings = append(c.rings, &ring{window: w})
	}
	return c
}

func (c *counter) own() time.Duration { return c.rings[len(fixedWindows)].window }

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
	out.History = c.rings[len(fixedWindows)-1].parts(now)
	return out
}
