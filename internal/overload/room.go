package overload

import "time"

// Amount is an amount of each resource: thousandths of a core, MB of memory and GPUs, or these times seconds.
type Amount [resources]float64

const resources = 3

// Times after now are divided into intervals that grow with the distance, because estimates are the less certain the
// further ahead they look. Work that is due after the last of them restricts nothing.
const (
	intervalsPerScale = 32
	intervals         = 3 * intervalsPerScale
)

// scales holds the length of the intervals of each scale in seconds. The first one is a small part of an average task.
var scales = [...]float64{0.1, 0.2, 0.8}

// points holds the time at which each interval ends, after 0.
var points = func() (p [intervals + 1]float64) {
	for i := range intervals {
		p[i+1] = p[i] + scales[i/intervalsPerScale]
	}
	return p
}()

// pointBefore returns the index of the last point that is not after the given time.
func pointBefore(t time.Duration) int {
	s := t.Seconds()
	if s <= 0 {
		return 0
	}
	for scale, length := range scales {
		first := scale * intervalsPerScale
		if s < points[first+intervalsPerScale] {
			return first + int((s-points[first])/length)
		}
	}
	return intervals
}

// Room is the capacity of a pool over time. The zero value has none.
type Room struct {
	rate    [intervals + 1]Amount // what becomes free after each point
	partial [intervals + 1]Amount // of it, what is of use within the interval in which it becomes free
	// Late is the work that waits and cannot be in time.
	Late Backlog
}

// Add adds capacity that becomes free after the given time and then stays.
func (r *Room) Add(in time.Duration, a Amount) {
	p := pointBefore(in)
	if p == intervals {
		return
	}
	use := points[p+1] - max(in.Seconds(), 0)
	for k, amount := range a {
		r.rate[p+1][k] += amount
		r.partial[p+1][k] += amount * use
	}
}

// timeline holds what is available by each point.
type timeline [intervals + 1]Amount

// has reports whether the timeline has room for the stages beside a reserve: a part of the whole.
func (t *timeline) has(stages []Stage, whole *timeline, reserve float64) bool {
	if len(stages) == 0 {
		return true
	}
	var need Amount
	next, due := 0, pointBefore(stages[0].Due)
	for p := due; p < intervals; p++ {
		for due <= p {
			for k, w := range stages[next].Work {
				need[k] += w
			}
			if next++; next < len(stages) {
				due = pointBefore(stages[next].Due)
			} else {
				due = intervals
			}
		}
		for k, n := range need {
			if n > 0 && n > t[p][k]-reserve*whole[p][k] {
				return false
			}
		}
	}
	return true
}

// take reduces the timeline by the work of the stages.
func (t *timeline) take(stages []Stage) {
	for i := range stages {
		for p := pointBefore(stages[i].Due); p < intervals; p++ {
			for k, w := range stages[i].Work {
				t[p][k] -= w
			}
		}
	}
}

// by sets the timeline to what the room provides by each point.
func (t *timeline) by(r *Room) {
	var rate Amount
	t[0] = Amount{}
	for p := 1; p <= intervals; p++ {
		for k := range resources {
			t[p][k] = t[p-1][k] + rate[k]*(points[p]-points[p-1]) + r.partial[p][k]
			rate[k] += r.rate[p][k]
		}
	}
}
