package pool

import (
	"testing"
	"time"
)

// Hot organisation: work beyond an organisation's limit cannot run, so no capacity is fetched for it, while the others'
// work still counts in full.
func TestDemandOfAHotOrganisation(t *testing.T) {
	var d Demand
	now := time.UnixMilli(1_000_000)
	for range 300 { // three seconds: 400 cores of one organisation, 50 of another
		now = now.Add(10 * time.Millisecond)
		d.Add("hot", 4_000_000, now)
		d.Add("other", 500_000, now)
	}
	limits := map[string]int64{"hot": 100_000, "other": 200_000}
	limited := d.ForecastCPU(now, lead, func(name string) int64 { return limits[name] })
	expectWithin(t, "with limits", limited, 0.95*150_000, 1.05*150_000)
	unlimited := d.ForecastCPU(now, lead, func(string) int64 { return 0 })
	expectWithin(t, "without limits", unlimited, 0.95*450_000, 1.05*450_000)
}

// Idle: a pool without arrivals has no forecast.
func TestDemandOfAnIdlePool(t *testing.T) {
	var d Demand
	now := time.UnixMilli(1_000_000)
	d.Add("org", 1_000_000, now)
	if got := d.ForecastCPU(now.Add(time.Minute), lead, func(string) int64 { return 0 }); got != 0 {
		t.Errorf("forecast %d, want 0", got)
	}
}
