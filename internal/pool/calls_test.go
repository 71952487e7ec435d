package pool

import (
	"testing"
	"time"
)

// Guards the rate of the instance service: over any time the budget allows the rate and a small burst, and a clock that is
// set back gives no more.
func TestCallsStayWithinTheRate(t *testing.T) {
	c := CallBudget{PerSecond: 60}
	now := time.UnixMilli(1_000_000)
	taken := 0
	for range 100 { // ten seconds
		now = now.Add(100 * time.Millisecond)
		c.Refill(now)
		for c.Allow() {
			taken++
		}
	}
	if taken < 580 || taken > 615 {
		t.Errorf("%d calls in ten seconds, want about 600", taken)
	}
	c.Refill(now.Add(-time.Hour))
	if c.Allow() {
		t.Error("a clock that was set back gave a call")
	}
	c.Refill(now.Add(time.Hour))
	burst := 0
	for c.Allow() {
		burst++
	}
	if burst > 15 {
		t.Errorf("%d calls at once, want at most a quarter of a second's", burst)
	}
	if unlimited := (CallBudget{}); !unlimited.Allow() {
		t.Error("no limit refused a call")
	}
}
