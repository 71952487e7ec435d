package pool

import (
	"reflect"
	"testing"
	"time"
)

func empty(id string, idle time.Duration) Instance {
	return Instance{ID: id, CPU: 16_000, IdleTime: idle}
}

// Guards the size of pools over a turn of demand: instances come while tasks wait, and leave when they have been empty
// for a while, each at most once and none that the pool needs.
func TestPlan(t *testing.T) {
	const idle = 5 * time.Second
	policy := Policy{MinIdle: time.Second, MinFreeCPU: 16_000, TurnoverShare: 0.5, ForecastShare: 0.8}
	standby := func(instances ...Instance) State {
		return State{Name: "standby", Standby: true, IdleInstances: instances}
	}
	for name, c := range map[string]struct {
		pools []State
		want  []Move
	}{
		"peak: fetches from standby": {
			[]State{{Name: "a", UsedCPU: 40_000, PendingCPU: 50_000}, standby(empty("s1", 0), empty("s2", 0), empty("s3", 0))},
			[]Move{{"s1", "standby", "a"}, {"s2", "standby", "a"}},
		},
		"peak: the pool frees enough by itself": {
			[]State{{Name: "a", UsedCPU: 40_000, PendingCPU: 20_000}, standby(empty("s1", 0))}, nil,
		},
		"peak: enough is on its way": {
			[]State{{Name: "a", UsedCPU: 40_000, PendingCPU: 50_000, IncomingCPU: 32_000}, standby(empty("s1", 0))}, nil,
		},
		"two peaks: the larger shortage first": {
			[]State{{Name: "a", PendingCPU: 10_000}, {Name: "b", PendingCPU: 30_000}, standby(empty("s1", 0))},
			[]Move{{"s1", "standby", "b"}},
		},
		"peak without standby: takes what another spares": {
			[]State{{Name: "a", PendingCPU: 10_000}, {Name: "b", FreeCPU: 40_000, IdleInstances: []Instance{empty("b1", 0), empty("b2", idle)}}},
			[]Move{{"b2", "b", "a"}},
		},
		"quiet: empty instances leave but for the reserve": {
			[]State{{Name: "a", FreeCPU: 50_000, IdleInstances: []Instance{empty("a1", idle), empty("a2", idle), empty("a3", idle)}}, standby()},
			[]Move{{"a1", "a", "standby"}, {"a2", "a", "standby"}},
		},
		"quiet: not before they have been empty for a while": {
			[]State{{Name: "a", FreeCPU: 50_000, IdleInstances: []Instance{empty("a1", time.Millisecond)}}, standby()}, nil,
		},
		"quiet: nothing leaves while tasks wait": {
			[]State{{Name: "a", FreeCPU: 50_000, UsedCPU: 90_000, PendingCPU: 1, IdleInstances: []Instance{empty("a1", idle)}}, standby()}, nil,
		},
		"lasting tasks without a host: whatever the pool frees by itself": {
			[]State{{Name: "a", UsedCPU: 90_000, FreeCPU: 30_000, InstancesNeeded: 1}, standby(empty("s1", 0), empty("s2", 0))},
			[]Move{{"s1", "standby", "a"}},
		},
		"lasting tasks without a host: one is on its way": {
			[]State{{Name: "a", InstancesNeeded: 1, IncomingInstances: 1, IncomingCPU: 16_000}, standby(empty("s1", 0))}, nil,
		},
		"begin of a turn: fetches before tasks wait": {
			[]State{{Name: "a", UsedCPU: 20_000, FreeCPU: 10_000, ForecastCPU: 75_000}, standby(empty("s1", 0), empty("s2", 0), empty("s3", 0))},
			[]Move{{"s1", "standby", "a"}, {"s2", "standby", "a"}},
		},
		"begin of a turn: enough is on its way": {
			[]State{{Name: "a", UsedCPU: 20_000, FreeCPU: 10_000, IncomingCPU: 32_000, ForecastCPU: 75_000}, standby(empty("s1", 0))}, nil,
		},
		"turn: what arrives needs what is empty": {
			[]State{{Name: "a", UsedCPU: 20_000, FreeCPU: 50_000, ForecastCPU: 80_000, IdleInstances: []Instance{empty("a1", idle)}}, standby()}, nil,
		},
		"an instance of another kind stays": {
			[]State{{Name: "a", PendingCPU: 10_000}, standby(Instance{ID: "s1", CPU: 16_000, RejectedBy: []string{"a"}})}, nil,
		},
	} {
		if got := Plan(c.pools, policy); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
