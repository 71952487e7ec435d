package pool

import (
	"testing"
	"time"
)

// Guards against calls above the rate limit of the instance service: over any period the budget allows the rate and a
// small burst, and a clock that is set back adds nothing.
func TestCallBudgetLimitsRate(t *testing.T) {
	c := CallBudget{PerSecond: 60}
	now := time.UnixMilli(1_000_000)
	allowed := 0
	for range 100 { // ten seconds
		now = now.Add(100 * time.Millisecond)
		c.Refill(now)
		for c.Allow() {
			allowed++
		}
	}
	if allowed < 580 || allowed > 615 {
		t.Errorf("%d calls in ten seconds, want about 600", allowed)
	}
	c.Refill(now.Add(-time.Hour))
	if c.Allow() {
		t.Error("a call was allowed after the clock was set back")
	}
	c.Refill(now.Add(time.Hour))
	burst := 0
	for c.Allow() {
		burst++
	}
	if burst > 15 {
		t.Errorf("%d calls at once, want at most a quarter of a second's worth", burst)
	}
	if unlimited := (CallBudget{}); !unlimited.Allow() {
		t.Error("an unlimited budget denied a call")
	}
}
