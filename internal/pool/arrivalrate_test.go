package pool

import (
	"testing"
	"time"
)

// Guards the forecast at a demand peak: a fivefold rise is seen within a second, its end as well, and a clock that
// jumps forward or back leaves no stale work in the window.
func TestArrivalRateFollowsDemand(t *testing.T) {
	var r ArrivalRate
	now := time.UnixMilli(1_000_000)
	arrive := func(seconds float64, cpu int64) {
		for range int(seconds * 100) { // one arrival every 10 ms
			now = now.Add(10 * time.Millisecond)
			r.Add(cpu*10, now)
		}
	}
	expectNear := func(what string, want int64) {
		t.Helper()
		if got := r.ForecastCPU(now); got < want*85/100 || got > want*115/100 {
			t.Errorf("%s: %d, want about %d", what, got, want)
		}
	}
	arrive(3, 10_000)
	expectNear("steady", 10_000)
	arrive(1, 50_000)
	expectNear("a second into the peak", 50_000)
	arrive(1, 500)
	expectNear("a second after it", 500)
	now = now.Add(time.Hour)
	if got := r.ForecastCPU(now); got != 0 {
		t.Errorf("after an hour: %d", got)
	}
	now = now.Add(-30 * time.Minute)
	arrive(3, 10_000)
	expectNear("after a jump back", 10_000)
}
