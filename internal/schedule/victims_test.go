package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Guards preemption for urgent work in a pool full of long runs: only less urgent runs are selected, no more than the
// tasks need, and none that runs for less than minRunTime.
func TestSelectVictims(t *testing.T) {
	cpu := func(n int64) catalog.Resources { return catalog.Resources{CPU: n} }
	long := 10 * time.Second
	for name, c := range map[string]struct {
		count   int
		free    []catalog.Resources
		victims []Victim
		want    []int
	}{
		"the most recently started":   {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, long}, {0, cpu(1000), 1, long / 2}}, []int{1}},
		"the least urgent":            {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, long / 2}, {0, cpu(1000), 2, long}}, []int{1}},
		"of equal urgency":            {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 0, long}}, nil},
		"below the minimum run time":  {1, []catalog.Resources{{}}, []Victim{{0, cpu(1000), 1, minRunTime - 1}}, nil},
		"together":                    {1, []catalog.Resources{{}}, []Victim{{0, cpu(600), 1, long}, {0, cpu(600), 1, long}}, []int{0, 1}},
		"with free capacity":          {1, []catalog.Resources{cpu(500)}, []Victim{{0, cpu(600), 1, long}, {0, cpu(600), 1, long}}, []int{0}},
		"none if they do not suffice": {1, []catalog.Resources{{}, {}}, []Victim{{0, cpu(600), 1, long}, {1, cpu(600), 1, long}}, nil},
		"one for two tasks":           {2, []catalog.Resources{{}}, []Victim{{0, cpu(2000), 1, long}, {0, cpu(2000), 1, long}}, []int{0}},
	} {
		if got := SelectVictims(cpu(1000), 0, c.count, c.free, c.victims); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
