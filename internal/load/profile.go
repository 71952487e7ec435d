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
	// Weight is the class's share of the mean rate, relative to the other classes.
	Weight float64
	// MedianRunTime is the median of the log-normal distribution of run times at the worker.
	MedianRunTime time.Duration
	// Deadline is relative to the start of a request.
	Deadline   time.Duration
	Idempotent bool
	Resumable  bool
	// Keyed requests carry an Idempotency-Key and are retried with it while their outcome is unknown.
	Keyed bool
}

// Profile is a workload, a mix of request classes.
type Profile struct {
	Name    string
	Classes []Class
}

// profiles holds the workloads of the two deployments, with run times scaled down so that a test of a few seconds
// covers the mix, and an anonymous one.
var profiles = []Profile{
	{Name: "cruite-rounds", Classes: []Class{
		{Name: "quote", Queue: "quotes", Organisation: "quotes", Weight: 40, MedianRunTime: 20 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
		{Name: "slot-search", Queue: "slot-search", Organisation: "slots", Weight: 40, MedianRunTime: 30 * time.Millisecond, Deadline: 2 * time.Second, Idempotent: true},
		{Name: "booking", Queue: "bookings", Organisation: "bookings", Weight: 10, MedianRunTime: 20 * time.Millisecond, Deadline: 5 * time.Second, Keyed: true},
		{Name: "round-planning", Queue: "round-planning", Organisation: "planning", Weight: 1, MedianRunTime: 2 * time.Second, Deadline: 60 * time.Second, Idempotent: true, Resumable: true},
		{Name: "feed", Queue: "feeds", Organisation: "feeds", Weight: 1, MedianRunTime: 3 * time.Second, Deadline: 60 * time.Second, Idempotent: true, Resumable: true},
	}},
	{Name: "snra", Classes: []Class{
		{Name: "sounding-check", Queue: "sounding-checks", Organisation: "soundings", Weight: 60, MedianRunTime: 25 * time.Millisecond, Deadline: 3 * time.Second, Idempotent: true},
		{Name: "launch-log", Queue: "launch-logs", Organisation: "launches", Weight: 30, MedianRunTime: 15 * time.Millisecond, Deadline: 5 * time.Second, Keyed: true},
		{Name: "station-history", Queue: "station-histories", Organisation: "histories", Weight: 1, MedianRunTime: 4 * time.Second, Deadline: 120 * time.Second, Idempotent: true, Resumable: true},
	}},
	{Name: "open", Classes: []Class{
		{Name: "walk-in", Queue: "walk-in", Weight: 1, MedianRunTime: 2 * time.Millisecond, Deadline: 5 * time.Second, Idempotent: true},
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

// Shape of the load: each queue in turn peaks above the capacity of its pool, and falls far below its mean in between.
const (
	// peakFactor is the rate at a peak relative to the mean.
	peakFactor = 5
	// troughFactor is the rate between peaks relative to the mean.
	troughFactor = 1.0 / 20
	// peakTime is the length of one queue's peak.
	peakTime = 3 * time.Second
)

// arrival is a planned request.
type arrival struct {
	offset  time.Duration // since the start of the load test
	class   int
	runTime time.Duration
}

// plan returns random arrivals in order of time. With peaks, the classes peak in turn for peakTime each; otherwise the
// arrivals of each class are a Poisson process of its mean rate. The plan depends only on the arguments.
func plan(p Profile, rate float64, duration time.Duration, peaks bool, rng *rand.Rand) []arrival {
	totalWeight := 0.0
	for _, c := range p.Classes {
		totalWeight += c.Weight
	}
	var out []arrival
	for i, c := range p.Classes {
		meanRate := rate * c.Weight / totalWeight // requests per second
		out = append(out, classArrivals(i, c, meanRate, duration, peaks, len(p.Classes), rng)...)
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.offset - b.offset) })
	return out
}

// classArrivals thins a Poisson process of the peak rate, which yields the time-varying rate exactly.
func classArrivals(i int, c Class, meanRate float64, duration time.Duration, peaks bool, classCount int,
	rng *rand.Rand) []arrival {
	peakRate := meanRate
	if peaks {
		peakRate = meanRate * peakFactor
	}
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / peakRate * float64(time.Second))
		if at >= duration {
			return out
		}
		if peaks && rng.Float64() > rateFactor(i, at, classCount)/peakFactor {
			continue
		}
		out = append(out, arrival{offset: at, class: i, runTime: randomRunTime(c.MedianRunTime, rng)})
	}
}

// rateFactor returns the rate of class i at a time, relative to its mean rate.
func rateFactor(i int, at time.Duration, classCount int) float64 {
	if int(at/peakTime)%classCount == i {
		return peakFactor
	}
	return troughFactor
}

// runSigma is the sigma of the log-normal run times; the 99th percentile is about three times the median.
const runSigma = 0.5

// randomRunTime returns a log-normal random run time with the given median.
func randomRunTime(median time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(median) * math.Exp(runSigma*rng.NormFloat64()))
}
