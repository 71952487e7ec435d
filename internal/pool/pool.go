// Package pool decides which instances move between pools. It is pure.
//
// Demand comes in turns: for a few seconds a queue asks for more than its pool holds, then for almost nothing, while
// every instance outside a standby pool is paid for. So empty instances leave soon, and come back when tasks wait that
// the pool would not start in time by itself.
package pool

import (
	"slices"
	"time"
)

// Policy holds the thresholds.
type Policy struct {
	// MinIdle is how long an instance must have been empty before it leaves its pool.
	MinIdle time.Duration
	// MinFreeCPU is the free processor capacity, in thousandths of a core, that a pool keeps when instances leave.
	MinFreeCPU int64
	// TurnoverShare is the share of the processors in use that a pool is expected to free before a fetched instance has
	// arrived.
	TurnoverShare float64
	// ForecastShare is the share of the arriving work that a pool fetches instances for before its tasks wait.
	ForecastShare float64
}

// DefaultPolicy follows from the prices of the users' deployments: a move costs as much as 1.1 s of an instance in a
// pool, so a round trip pays after some 2 s of absence; from a move that takes 1.5 s, in which a pool of tasks of one to
// two seconds frees part of what is in use; and from the first seconds of a turn, whose tasks the reserve starts
// until instances have come.
func DefaultPolicy() Policy {
	return Policy{MinIdle: time.Second, MinFreeCPU: 32_000, TurnoverShare: 0.2, ForecastShare: 0.8}
}

// Instance is an instance that can be moved: up, empty and not about to be maintained.
type Instance struct {
	ID       string
	CPU      int64 // thousandths of a core
	IdleTime time.Duration
	// RejectedBy lists pools that are known not to take it.
	RejectedBy []string
}

// State is the state of one pool. Amounts are thousandths of a core.
type State struct {
	Name    string
	Standby bool
	// UsedCPU is taken by tasks, FreeCPU can be given to tasks, PendingCPU is asked for by tasks that found no room.
	UsedCPU, FreeCPU, PendingCPU int64
	// IncomingCPU is the capacity of instances on their way into the pool, Arriving their number.
	IncomingCPU       int64
	IncomingInstances int
	// ForecastCPU is the processors that arriving work keeps busy.
	ForecastCPU int64
	// InstancesNeeded is how many further instances lasting tasks need, whatever else ends.
	InstancesNeeded int
	IdleInstances   []Instance
}

// shortage returns how much capacity the pool should fetch.
func (s *State) shortage(p Policy) int64 {
	if s.Standby {
		return 0
	}
	short := max(s.PendingCPU-int64(p.TurnoverShare*float64(s.UsedCPU)), s.expected(p)-s.UsedCPU-s.FreeCPU) - s.IncomingCPU
	if s.InstancesNeeded > s.IncomingInstances {
		short = max(short, 1)
	}
	return short
}

func (s *State) expected(p Policy) int64 { return int64(p.ForecastShare * float64(s.ForecastCPU)) }

// Move sends an instance to another pool.
type Move struct{ Instance, From, To string }

// Plan returns the moves to order now: what is short fetches from standby, then from pools with empty instances to spare;
// what is left empty goes to standby.
func Plan(pools []State, policy Policy) []Move {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b State) int { return int(b.shortage(policy) - a.shortage(policy)) })
	var moves []Move
	taken := map[string]bool{}
	for i := range pools {
		needy := &pools[i]
		for short := needy.shortage(policy); short > 0; {
			m, cpu := fetch(pools, needy, policy, taken)
			if cpu == 0 {
				break
			}
			moves = append(moves, m)
			short -= cpu
		}
	}
	return append(moves, release(pools, policy, taken)...)
}

// fetch picks an instance for a pool and marks it as taken.
func fetch(pools []State, needy *State, policy Policy, taken map[string]bool) (Move, int64) {
	for _, standby := range []bool{true, false} {
		for i := range pools {
			from := &pools[i]
			if from.Name == needy.Name || from.Standby != standby || from.PendingCPU > 0 || from.InstancesNeeded > 0 {
				continue
			}
			for _, inst := range from.IdleInstances {
				if taken[inst.ID] || slices.Contains(inst.RejectedBy, needy.Name) || !standby && !from.spares(inst, policy) {
					continue
				}
				taken[inst.ID] = true
				from.FreeCPU -= inst.CPU
				return Move{inst.ID, from.Name, needy.Name}, inst.CPU
			}
		}
	}
	return Move{}, 0
}

// spares reports whether the pool can do without an instance.
func (s *State) spares(inst Instance, policy Policy) bool {
	return s.PendingCPU == 0 && s.InstancesNeeded == 0 && inst.IdleTime >= policy.MinIdle && s.FreeCPU-inst.CPU >= policy.MinFreeCPU &&
		s.UsedCPU+s.FreeCPU-inst.CPU >= s.expected(policy)
}

// release sends empty instances to a standby pool, if there is one.
func release(pools []State, policy Policy, taken map[string]bool) []Move {
	var moves []Move
	for i := range pools {
		from := &pools[i]
		if from.Standby {
			continue
		}
		for _, inst := range from.IdleInstances {
			to := standbyFor(pools, inst)
			if to == "" || taken[inst.ID] || !from.spares(inst, policy) {
				continue
			}
			taken[inst.ID] = true
			from.FreeCPU -= inst.CPU
			moves = append(moves, Move{inst.ID, from.Name, to})
		}
	}
	return moves
}

func standbyFor(pools []State, inst Instance) string {
	for i := range pools {
		if pools[i].Standby && !slices.Contains(inst.RejectedBy, pools[i].Name) {
			return pools[i].Name
		}
	}
	return ""
}
