package pool

import "time"

// Demand predicts the load of a pool from the work that organisations submit to it. The zero value is ready for use.
type Demand struct {
	total          ArrivalRate
	byOrganisation map[string]*ArrivalRate
}

// Add records work of an organisation, in thousandths of a core times milliseconds.
func (d *Demand) Add(organisation string, work int64, now time.Time) {
	d.total.Add(work, now)
	if d.byOrganisation == nil {
		d.byOrganisation = map[string]*ArrivalRate{}
	}
	rate := d.byOrganisation[organisation]
	if rate == nil {
		rate = &ArrivalRate{}
		d.byOrganisation[organisation] = rate
	}
	rate.Add(work, now)
}

// ForecastCPU returns the capacity that arriving work will keep busy after lead, in thousandths of a core. Work beyond
// an organisation's limit cannot run and is left out; limit returns 0 for an organisation without one. The trend is
// that of the whole pool, because the work of a single organisation varies too much.
func (d *Demand) ForecastCPU(now time.Time, lead time.Duration, limit func(organisation string) int64) int64 {
	load, runnable := int64(0), int64(0)
	for name, rate := range d.byOrganisation {
		cpu := rate.LoadCPU(now)
		load += cpu
		if most := limit(name); most > 0 {
			cpu = min(cpu, most)
		}
		runnable += cpu
	}
	if load == 0 {
		return 0
	}
	return int64(float64(d.total.ForecastCPU(now, lead)) * float64(runnable) / float64(load))
}
