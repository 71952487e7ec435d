package pool

import "time"

// ArrivalRate measures the work that arrives and its trend. The zero value is ready for use.
type ArrivalRate struct {
	buckets [rateBuckets]bucket
	newest  int64 // number of the newest bucket since the Unix epoch
}

// bucket holds the work that arrived in one interval and the sum of the squares of its parts.
type bucket struct{ work, squares float64 }

const (
	// rateWindow is close to the duration of a move (1.5 s), so that a peak is visible before the first instances for
	// it could arrive, and long enough to cover about ten jobs in the smallest deployment.
	rateWindow    = time.Second
	windowBuckets = 10
	bucketTime    = rateWindow / windowBuckets
	// rateBuckets covers two windows, whose difference is the trend.
	rateBuckets = 2 * windowBuckets
)

// Add records arrived work, in thousandths of a core times milliseconds.
func (r *ArrivalRate) Add(work int64, now time.Time) {
	r.advance(now)
	b := &r.buckets[r.newest%rateBuckets]
	b.work += float64(work)
	b.squares += float64(work) * float64(work)
}

// LoadCPU returns the capacity that work arriving at the present rate keeps busy, in thousandths of a core.
func (r *ArrivalRate) LoadCPU(now time.Time) int64 {
	recent, _, _ := r.windows(now)
	return toLoad(recent)
}

// ForecastCPU returns the capacity that arriving work will keep busy after lead if a rise beyond noise continues, in
// thousandths of a core. A fall is not extrapolated: capacity that was released too early would be missed for a move.
func (r *ArrivalRate) ForecastCPU(now time.Time, lead time.Duration) int64 {
	recent, previous, squares := r.windows(now)
	rise := significantRise(recent-previous, squares)
	// The recent window measures the rate of half a window ago.
	windowsAhead := (lead + rateWindow/2).Seconds() / rateWindow.Seconds()
	return toLoad(recent + rise*windowsAhead)
}

// significantRise shrinks a difference of two windows by the part of its square that chance explains (the estimator of
// James and Stein): work that arrives independently varies by the sum of its squares. A single job is no trend, and
// many jobs are one.
func significantRise(difference, squares float64) float64 {
	if difference <= 0 {
		return 0
	}
	return difference * max(0, 1-squares/(difference*difference))
}

// windows returns the work of the last window, that of the window before, and the sum of squares of both. The last
// window ends within a bucket; its work is scaled to the whole window.
func (r *ArrivalRate) windows(now time.Time) (recent, previous, squares float64) {
	r.advance(now)
	for age := range int64(rateBuckets) {
		b := r.buckets[(r.newest+rateBuckets-age)%rateBuckets]
		squares += b.squares
		if age < windowBuckets {
			recent += b.work
		} else {
			previous += b.work
		}
	}
	covered := (windowBuckets-1)*bucketTime + time.Duration(now.UnixNano())%bucketTime
	return recent * rateWindow.Seconds() / covered.Seconds(), previous, squares
}

// toLoad converts the work of a window into the capacity that it keeps busy.
func toLoad(work float64) int64 { return int64(work / float64(rateWindow.Milliseconds())) }

func (r *ArrivalRate) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketTime)
	if current < r.newest { // the clock was set back
		*r = ArrivalRate{}
	}
	for n := max(r.newest+1, current-rateBuckets+1); n <= current; n++ {
		r.buckets[n%rateBuckets] = bucket{}
	}
	r.newest = current
}
