package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/workload"
)

var now = time.UnixMilli(1_000_000)

func demand(id string, urgency int, fullCreditIn, remaining time.Duration) *Demand {
	return &Demand{ID: id, Urgency: urgency, Remaining: remaining, Objective: Objective{FullCreditUntil: now.Add(fullCreditIn), PartialCreditUntil: now.Add(3 * fullCreditIn)}}
}

// Guards the order of demands in a peak: long-running work first, then demands that can earn full credit by urgency and
// slack, then those that can earn partial credit, and last those that can earn none.
func TestOrder(t *testing.T) {
	longRunning := demand("lasting", 1, time.Hour, 0)
	longRunning.LongRunning = true
	want := []*Demand{
		longRunning,
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
			t.Errorf("position %d: %s, want %s", i, got[i].ID, want[i].ID)
		}
	}
}

// Guards the objective: it follows the critical path, not the sum of the steps.
func TestCriticalPath(t *testing.T) {
	ms := time.Millisecond
	from, longest := CriticalPath([]workload.Step{
		{Estimate: 100 * ms}, {Estimate: 300 * ms}, {Estimate: 50 * ms, After: []int{0}}, {Estimate: 10 * ms, After: []int{0, 1}},
	})
	if longest != 310*ms || !slices.Equal(from, []time.Duration{150 * ms, 310 * ms, 50 * ms, 10 * ms}) {
		t.Errorf("longest %v, from %v", longest, from)
	}
}

// Guards placement: each ordering rule decides when the preceding rules are equal.
func TestSelectWorker(t *testing.T) {
	free := func(cpu int64) catalog.Resources { return catalog.Resources{CPU: cpu, MemoryMB: 1000} }
	step := workload.Step{Resources: catalog.Resources{CPU: 1000, MemoryMB: 100}}
	stepWith := func(change func(*workload.Step)) *workload.Step { s := step; change(&s); return &s }
	for name, c := range map[string]struct {
		step       *workload.Step
		candidates []Candidate
		want       int
	}{
		"insufficient CPU":               {&step, []Candidate{{Free: free(999)}}, -1},
		"insufficient memory":            {&step, []Candidate{{Free: catalog.Resources{CPU: 9000}}}, -1},
		"fullest":                        {&step, []Candidate{{Free: free(5000)}, {Free: free(1500)}}, 1},
		"sound":                          {&step, []Candidate{{Free: free(1500), SuspectScore: 2}, {Free: free(5000)}}, 1},
		"doubtful":                       {&step, []Candidate{{Free: free(1500), SuspectScore: 2}}, 0},
		"on the data's rack":             {stepWith(func(s *workload.Step) { s.DataRack = "r2" }), []Candidate{{Free: free(1500), Rack: "r1"}, {Free: free(5000), Rack: "r2"}}, 1},
		"label":                          {stepWith(func(s *workload.Step) { s.RequiredLabel = "ssd" }), []Candidate{{Free: free(1500)}, {Free: free(5000), HasLabel: true}}, 1},
		"anti-affinity":                  {stepWith(func(s *workload.Step) { s.MaxPerWorker = 1 }), []Candidate{{Free: free(1500), StepTasks: 1}, {Free: free(5000)}}, 1},
		"long-running spread":            {stepWith(func(s *workload.Step) { s.LongRunning = true }), []Candidate{{Free: free(1500), StepTasks: 1}, {Free: free(5000)}}, 1},
		"wave: long-running stays":       {stepWith(func(s *workload.Step) { s.LongRunning = true }), []Candidate{{Free: free(1500), DueForMaintenance: true}, {Free: free(5000), StepTasks: 1}}, 1},
		"wave: short runs where it fits": {&step, []Candidate{{Free: free(1500), DueForMaintenance: true}, {Free: free(5000)}}, 0},
		"filler":                         {stepWith(func(s *workload.Step) { s.BestEffort = true }), []Candidate{{Free: free(0)}}, 0},
	} {
		if got := SelectWorker(c.step, c.candidates); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// Guards room for long-running tasks in a full pool: it is held back on candidates that can run them once short runs have
// ended, one task each, and only from short tasks.
func TestReserveInAFullPool(t *testing.T) {
	step := &workload.Step{Count: 2, LongRunning: true, MaxPerWorker: 1, Resources: catalog.Resources{CPU: 3000}}
	cpu := func(n int64) catalog.Resources { return catalog.Resources{CPU: n} }
	for name, c := range map[string]struct {
		candidates []Candidate
		count      int
		want       []int64 // reserved CPU by candidate
	}{
		"the one with the most free CPU": {[]Candidate{{Free: cpu(500), Ending: cpu(3500)}, {Free: cpu(1000), Ending: cpu(3000)}}, 1, []int64{0, 3000}},
		"each on another":                {[]Candidate{{Free: cpu(500), Ending: cpu(3500)}, {Free: cpu(1000), Ending: cpu(3000)}}, 3, []int64{3000, 3000}},
		"never enough":                   {[]Candidate{{Free: cpu(1000), Ending: cpu(1500)}}, 1, []int64{0}},
		"runs another task of the step":  {[]Candidate{{Free: cpu(2000), Ending: cpu(2000), StepTasks: 1}}, 1, []int64{0}},
		"about to go down":               {[]Candidate{{Free: cpu(2000), Ending: cpu(2000), DueForMaintenance: true}}, 1, []int64{0}},
		"no task waits":                  {[]Candidate{{Free: cpu(2000), Ending: cpu(2000)}}, 0, []int64{0}},
	} {
		Reserve(step, c.candidates, c.count)
		for i := range c.candidates {
			if got := c.candidates[i].Reserved.CPU; got != c.want[i] {
				t.Errorf("%s: %d reserved on candidate %d, want %d", name, got, i, c.want[i])
			}
		}
	}
	reserved := Candidate{Free: cpu(3500), Reserved: cpu(3000)}
	if short := (&workload.Step{Resources: cpu(1000)}); reserved.Fits(short) {
		t.Error("a short task takes what is reserved")
	}
	if !reserved.Fits(step) {
		t.Error("a long-running task does not fit into what is reserved for it")
	}
}
