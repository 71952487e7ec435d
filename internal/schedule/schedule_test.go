package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workload"
)

var now = time.UnixMilli(1_000_000)

func demand(id string, urgency int, fullIn, left time.Duration) *Demand {
	return &Demand{ID: id, Urgency: urgency, Remaining: left, Objective: Objective{FullCreditUntil: now.Add(fullIn), PartialCreditUntil: now.Add(3 * fullIn)}}
}

// Guards the order in a peak: lasting work first, then what can still earn everything by urgency and time to spare,
// then what is late, and last what can earn nothing any more.
func TestOrder(t *testing.T) {
	lasting := demand("lasting", 1, time.Hour, 0)
	lasting.LongRunning = true
	want := []*Demand{
		lasting,
		demand("tight", 0, time.Second, 900*time.Millisecond),
		demand("loose", 0, time.Second, 100*time.Millisecond),
		demand("less-urgent", 1, time.Second, 999*time.Millisecond),
		demand("late", 0, time.Second, 2*time.Second),
		demand("hopeless", 0, time.Second, 4*time.Second),
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, func(a, b *Demand) int {
		if Before(a, b, now) {
			return -1
		}
		return 1
	})
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("place %d: %s, want %s", i, got[i].ID, want[i].ID)
		}
	}
}

// Guards the objective: it follows the longest chain, not the sum of the steps.
func TestChain(t *testing.T) {
	ms := time.Millisecond
	from, longest := CriticalPath([]workload.Step{
		{Estimate: 100 * ms}, {Estimate: 300 * ms}, {Estimate: 50 * ms, After: []int{0}}, {Estimate: 10 * ms, After: []int{0, 1}},
	})
	if longest != 310*ms || !slices.Equal(from, []time.Duration{150 * ms, 310 * ms, 50 * ms, 10 * ms}) {
		t.Errorf("longest %v, from %v", longest, from)
	}
}

// Guards placement: each rule of the order decides when those before it are equal.
func TestChoose(t *testing.T) {
	room := func(cpu int64) catalog.Resources { return catalog.Resources{CPU: cpu, MemoryMB: 1000} }
	step := workload.Step{Resources: catalog.Resources{CPU: 1000, MemoryMB: 100}}
	with := func(change func(*workload.Step)) *workload.Step { s := step; change(&s); return &s }
	for name, c := range map[string]struct {
		step       *workload.Step
		candidates []Candidate
		want       int
	}{
		"no room":        {&step, []Candidate{{Free: room(999)}}, -1},
		"no memory":      {&step, []Candidate{{Free: catalog.Resources{CPU: 9000}}}, -1},
		"fullest":        {&step, []Candidate{{Free: room(5000)}, {Free: room(1500)}}, 1},
		"sound":          {&step, []Candidate{{Free: room(1500), SuspectScore: 2}, {Free: room(5000)}}, 1},
		"doubtful":       {&step, []Candidate{{Free: room(1500), SuspectScore: 2}}, 0},
		"near its data":  {with(func(s *workload.Step) { s.DataRack = "r2" }), []Candidate{{Free: room(1500), Rack: "r1"}, {Free: room(5000), Rack: "r2"}}, 1},
		"label":          {with(func(s *workload.Step) { s.RequiredLabel = "ssd" }), []Candidate{{Free: room(1500)}, {Free: room(5000), HasLabel: true}}, 1},
		"anti-affinity":  {with(func(s *workload.Step) { s.MaxPerWorker = 1 }), []Candidate{{Free: room(1500), StepTasks: 1}, {Free: room(5000)}}, 1},
		"lasting spread": {with(func(s *workload.Step) { s.LongRunning = true }), []Candidate{{Free: room(1500), StepTasks: 1}, {Free: room(5000)}}, 1},
		"filler":         {with(func(s *workload.Step) { s.BestEffort = true }), []Candidate{{Free: room(0)}}, 0},
	} {
		if got := SelectWorker(c.step, c.candidates); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}
