// Package load generates open-loop load against entry instances and checks that every answer belongs to its request.
package load

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Class is one kind of request of a workload.
type Class struct {
	Name         string
	Queue        string
	Organisation string
	// Weight is the class's part of the mean rate, relative to the other classes.
	Weight float64
	// Run is the median run time at the worker; run times are spread log-normally around it.
	Run time.Duration
	// Deadline of each request.
	Deadline   time.Duration
	Idempotent bool
	Resumable  bool
	// Keyed requests carry an Idempotency-Key and are repeated with it when their outcome is unknown.
	Keyed bool
}

// Profile is a workload.
type Profile struct {
	Name    string
	Classes []Class
}

// profiles are the workloads of the two deployments. Run times are scaled down so that a run of seconds shows the mix.
var profiles = []Profile{
	{Name: "cruite-rounds", Classes: []Class{
		{Name: "quote", Queue: "quotes", Organisation: "quotes", Weight: 40, Run: 20 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
		{Name: "slot-search", Queue: "slot-search", Organisation: "slots", Weight: 40, Run: 30 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
		{Name: "booking", Queue: "bookings", Organisation: "bookings", Weight: 10, Run: 20 * time.Millisecond, Deadline: 5 * time.Second, Keyed: true},
		{Name: "round-planning", Queue: "round-planning", Organisation: "planning", Weight: 1, Run: 2 * time.Second, Deadline: 60 * time.Second, Idempotent: true, Resumable: true},
		{Name: "feed", Queue: "feeds", Organisation: "feeds", Weight: 1, Run: 3 * time.Second, Deadline: 60 * time.Second, Idempotent: true, Resumable: true},
	}},
	{Name: "snra", Classes: []Class{
		{Name: "sounding-check", Queue: "sounding-checks", Organisation: "soundings", Weight: 60, Run: 25 * time.Millisecond, Deadline: 3 * time.Second, Idempotent: true},
		{Name: "launch-log", Queue: "launch-logs", Organisation: "launches", Weight: 30, Run: 15 * time.Millisecond, Deadline: 5 * time.Second, Keyed: true},
		{Name: "station-history", Queue: "station-histories", Organisation: "histories", Weight: 1, Run: 4 * time.Second, Deadline: 120 * time.Second, Idempotent: true, Resumable: true},
	}},
	{Name: "open", Classes: []Class{
		{Name: "walk-in", Queue: "walk-in", Weight: 1, Run: 2 * time.Millisecond, Deadline: 5 * time.Second, Idempotent: true},
	}},
}

// FindProfile returns a workload by name.
func FindProfile(name string) (Profile, error) {
	i := slices.IndexFunc(profiles, func(p Profile) bool { return p.Name == name })
	if i < 0 {
		return Profile{}, errors.NotFoundf("load profile %q", name)
	}
	return profiles[i], nil
}

// The shape of the load: each queue in turn peaks above its pool, and falls far below its mean between its peaks.
const (
	// peakFactor is the rate at a peak relative to the mean.
	peakFactor = 5
	// troughFactor is the rate between peaks relative to the mean.
	troughFactor = 1.0 / 20
	// peakTime is how long one queue peaks.
	peakTime = 3 * time.Second
)

// arrival is one request of the plan.
type arrival struct {
	at    time.Duration // since the start
	class int
	run   time.Duration
}

// plan draws the arrivals of a run. With peaks, the classes with weight peak in turn for peakTime each; otherwise the
// arrivals are a Poisson process of the mean rate. The plan depends only on its arguments.
func plan(p Profile, rate float64, duration time.Duration, peaks bool, rng *rand.Rand) []arrival {
	total := 0.0
	for _, c := range p.Classes {
		total += c.Weight
	}
	var out []arrival
	for i, c := range p.Classes {
		mean := rate * c.Weight / total // requests per second
		out = append(out, classArrivals(i, c, mean, duration, peaks, len(p.Classes), rng)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// classArrivals thins a Poisson process of the highest rate, which yields the time-varying rate exactly.
func classArrivals(i int, c Class, mean float64, duration time.Duration, peaks bool, classes int, rng *rand.Rand) []arrival {
	highest := mean
	if peaks {
		highest = mean * peakFactor
	}
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / highest * float64(time.Second))
		if at >= duration {
			return out
		}
		if peaks && rng.Float64() > rateFactor(i, at, classes)/peakFactor {
			continue
		}
		out = append(out, arrival{at: at, class: i, run: spread(c.Run, rng)})
	}
}

// rateFactor is the rate of class i at a time, relative to its mean.
func rateFactor(i int, at time.Duration, classes int) float64 {
	if int(at/peakTime)%classes == i {
		return peakFactor
	}
	return troughFactor
}

// runSigma is the shape of the log-normal run times; the 99th percentile is about three times the median.
const runSigma = 0.5

// spread draws a run time around the median.
func spread(median time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(median) * math.Exp(runSigma*rng.NormFloat64()))
}
