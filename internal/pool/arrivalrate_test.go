package pool

import (
	"math/rand/v2"
	"testing"
	"time"
)

// arrivals feeds a rate with jobs on a clock of its own.
type arrivals struct {
	rate ArrivalRate
	now  time.Time
	rng  *rand.Rand
}

func newArrivals(seed uint64) *arrivals {
	return &arrivals{now: time.UnixMilli(1_000_000), rng: rand.New(rand.NewPCG(seed, 1))}
}

// run lets jobs of the given work arrive at random for a while, so that they keep load(t) busy in the mean.
func (a *arrivals) run(d time.Duration, work int64, load func(elapsed time.Duration) float64) {
	const step = 10 * time.Millisecond
	for t := time.Duration(0); t < d; t += step {
		a.now = a.now.Add(step)
		expected := load(t) * float64(step.Milliseconds()) / float64(work)
		n := int(expected)
		if a.rng.Float64() < expected-float64(n) {
			n++
		}
		for range n {
			a.rate.Add(work, a.now)
		}
	}
}

func constantly(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func rampTo(from, to float64, in time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 { return from + (to-from)*min(1, t.Seconds()/in.Seconds()) }
}

func expectWithin(t *testing.T, what string, got int64, low, high float64) {
	t.Helper()
	if float64(got) < low || float64(got) > high {
		t.Errorf("%s: %d, want %.0f to %.0f", what, got, low, high)
	}
}

const (
	lead       = 1500 * time.Millisecond
	tinyWork   = 5_000     // a hundredth of a core for half a second
	smallWork  = 100_000   // 0.1 core for a second
	mediumWork = 8_000_000 // eight tasks of one core for a second
)

// Guards the measured load: a fivefold rise is seen within a second, its end as well, and a clock that jumps forward or
// back leaves no stale work in the window.
func TestLoadFollowsDemand(t *testing.T) {
	a := newArrivals(1)
	expectNear := func(what string, want float64) {
		t.Helper()
		expectWithin(t, what, a.rate.LoadCPU(a.now), want*0.85, want*1.15)
	}
	a.run(3*time.Second, tinyWork, constantly(10_000))
	expectNear("steady", 10_000)
	a.run(time.Second, tinyWork, constantly(50_000))
	expectNear("a second into the peak", 50_000)
	a.run(time.Second, tinyWork, constantly(500))
	expectNear("a second after it", 500)
	a.now = a.now.Add(time.Hour)
	if got := a.rate.LoadCPU(a.now); got != 0 {
		t.Errorf("after an hour: %d", got)
	}
	a.now = a.now.Add(-30 * time.Minute)
	a.run(3*time.Second, tinyWork, constantly(10_000))
	expectNear("after a jump back", 10_000)
}

// Ramp: while demand rises steadily, the forecast is close to the load at the time when an instance that is fetched now
// arrives. The load alone trails the ramp by half a second and the time of the move.
func TestForecastOfARamp(t *testing.T) {
	const base, peak, duration = 100_000, 1_000_000, 4 * time.Second
	ramp := rampTo(base, peak, duration)
	for seed := range uint64(20) {
		a := newArrivals(seed)
		a.run(3*time.Second, smallWork, constantly(base))
		a.run(2*time.Second, smallWork, ramp)
		arriving := ramp(2*time.Second + lead)
		expectWithin(t, "two seconds into the ramp", a.rate.ForecastCPU(a.now, lead), 0.8*arriving, 1.15*arriving)
	}
}

// Step: a sudden rise is overshot while it is in the window, by no more than the extrapolated rise, and forgotten two
// windows later.
func TestForecastOfAStep(t *testing.T) {
	const before, after = 100_000, 500_000
	a := newArrivals(2)
	a.run(3*time.Second, smallWork, constantly(before))
	a.run(time.Second, smallWork, constantly(after))
	windowsAhead := (lead + rateWindow/2).Seconds()
	expectWithin(t, "after one window", a.rate.ForecastCPU(a.now, lead), after, after+windowsAhead*(after-before)*1.1)
	a.run(2*time.Second, smallWork, constantly(after))
	expectWithin(t, "after three windows", a.rate.ForecastCPU(a.now, lead), 0.9*after, 1.3*after)
}

// Fall: the end of a peak is not extrapolated below the measured load.
func TestForecastOfAFall(t *testing.T) {
	a := newArrivals(3)
	a.run(3*time.Second, smallWork, constantly(500_000))
	a.run(time.Second, smallWork, rampTo(500_000, 100_000, time.Second))
	if forecast, load := a.rate.ForecastCPU(a.now, lead), a.rate.LoadCPU(a.now); forecast != load {
		t.Errorf("forecast %d, want the load %d", forecast, load)
	}
}

// Noise: a queue of a few jobs a second varies by chance. Its forecast must exceed the mean load less than it would
// without the part that is attributed to noise.
func TestForecastOfNoise(t *testing.T) {
	const load = 24_000 // three medium jobs a second
	damped, undamped, samples := 0.0, 0.0, 0
	for seed := range uint64(20) {
		a := newArrivals(seed)
		a.run(3*time.Second, mediumWork, constantly(load))
		for range 50 {
			a.run(100*time.Millisecond, mediumWork, constantly(load))
			damped += float64(a.rate.ForecastCPU(a.now, lead))
			recent, previous, _ := a.rate.windows(a.now)
			undamped += float64(toLoad(recent + max(0, recent-previous)*(lead+rateWindow/2).Seconds()))
			samples++
		}
	}
	excess, undampedExcess := damped/float64(samples)-load, undamped/float64(samples)-load
	if excess > 0.75*undampedExcess {
		t.Errorf("the forecast exceeds the load by %.0f, undamped by %.0f", excess, undampedExcess)
	}
}

// Lone large job: a single job cannot be told from noise; its forecast stays below twice its own load.
func TestForecastOfALoneLargeJob(t *testing.T) {
	a := newArrivals(4)
	a.run(3*time.Second, smallWork, constantly(0))
	a.rate.Add(400_000_000, a.now)
	const ownLoad = 400_000
	expectWithin(t, "at once", a.rate.ForecastCPU(a.now, lead), ownLoad, 2*ownLoad)
}
