package pool

import "time"

// ArrivalRate measures the arriving work over the last rateWindow. At the start of a demand peak it predicts the
// capacity that will be in use before tasks have to wait for it. The zero value is ready for use.
type ArrivalRate struct {
	buckets [rateBuckets]int64
	newest  int64 // number of the newest bucket since the Unix epoch
}

const (
	// rateWindow is close to the duration of a move (1.5 s), so that a peak is visible before the first instances for
	// it could arrive, and long enough to cover about ten jobs in the smallest deployment.
	rateWindow  = time.Second
	rateBuckets = 10
)

// Add records arrived work, in thousandths of a core times milliseconds.
func (r *ArrivalRate) Add(work int64, now time.Time) {
	r.advance(now)
	r.buckets[r.newest%rateBuckets] += work
}

// ForecastCPU returns the capacity that work arriving at this rate keeps busy, in thousandths of a core.
func (r *ArrivalRate) ForecastCPU(now time.Time) int64 {
	r.advance(now)
	total := int64(0)
	for _, p := range r.buckets {
		total += p
	}
	return total / rateWindow.Milliseconds()
}

func (r *ArrivalRate) advance(now time.Time) {
	current := now.UnixNano() / int64(rateWindow/rateBuckets)
	if current < r.newest { // the clock was set back
		*r = ArrivalRate{}
	}
	for n := max(r.newest+1, current-rateBuckets+1); n <= current; n++ {
		r.buckets[n%rateBuckets] = 0
	}
	r.newest = current
}
