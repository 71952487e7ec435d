package pool

import "time"

// ArrivalRate measures how much work arrives, over the last rateWindow. The zero value is ready for use. It answers the begin of
// a turn: what arrives tells how many processors will be in use before the tasks wait for them.
type ArrivalRate struct {
	parts [rateParts]int64
	head  int64 // number of the newest part since the Unix epoch
}

const (
	// rateWindow is about the time in which an instance moves (1.5 s), so that a turn is seen before the first instances
	// for it could have come, and long enough for some ten jobs in the smallest deployment.
	rateWindow = time.Second
	rateParts  = 10
)

// Add notes that work arrived, in thousandths of a core times milliseconds.
func (r *ArrivalRate) Add(work int64, now time.Time) {
	r.advance(now)
	r.parts[r.head%rateParts] += work
}

// ForecastCPU returns the processors that work arriving at this rate keeps busy, in thousandths of a core.
func (r *ArrivalRate) ForecastCPU(now time.Time) int64 {
	r.advance(now)
	total := int64(0)
	for _, p := range r.parts {
		total += p
	}
	return total / rateWindow.Milliseconds()
}

func (r *ArrivalRate) advance(now time.Time) {
	part := now.UnixNano() / int64(rateWindow/rateParts)
	if part < r.head { // the clock was set back
		*r = ArrivalRate{}
	}
	for n := max(r.head+1, part-rateParts+1); n <= part; n++ {
		r.parts[n%rateParts] = 0
	}
	r.head = part
}
