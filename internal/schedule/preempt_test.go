package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Guards urgent work in a pool full of long runs, and the runs: only less urgent ones are stopped, no more than make room,
// and none that was started a moment ago.
func TestPreempt(t *testing.T) {
	cpu := func(n int64) catalog.Resources { return catalog.Resources{CPU: n} }
	long := 10 * time.Second
	for name, c := range map[string]struct {
		count   int
		free    []catalog.Resources
		victims []Victim
		want    []int
	}{
		"the latest first":    {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, long}, {0, cpu(1000), 1, long / 2}}, []int{1}},
		"the least urgent":    {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, long / 2}, {0, cpu(1000), 2, long}}, []int{1}},
		"not as urgent":       {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 0, long}}, nil},
		"not a moment ago":    {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, minRun - 1}}, nil},
		"together":            {1, []catalog.Resources{{}}, []Victim{{0, cpu(600), 1, long}, {0, cpu(600), 1, long}}, []int{0, 1}},
		"with what is free":   {1, []catalog.Resources{cpu(500)}, []Victim{{0, cpu(600), 1, long}, {0, cpu(600), 1, long}}, []int{0}},
		"not for nothing":     {1, []catalog.Resources{{}, {}}, []Victim{{0, cpu(600), 1, long}, {1, cpu(600), 1, long}}, nil},
		"as many as it takes": {2, []catalog.Resources{{}}, []Victim{{0, cpu(2000), 1, long}, {0, cpu(2000), 1, long}}, []int{0}},
	} {
		if got := SelectVictims(cpu(1000), 0, c.count, c.free, c.victims); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
