// Package pool decides which instances move between pools. It reads no clock and performs no I/O.
//
// Demand comes in peaks: for a few seconds a queue needs more than the capacity of its pool, then almost none, while
// every instance outside a standby pool is paid for. Idle instances therefore leave a pool soon and return when it
// cannot start pending and forecast tasks in time on its own.
package pool

import (
	"slices"
	"time"
)

// Policy holds the thresholds of Plan.
type Policy struct {
	// MinIdle is how long an instance must have been idle before it leaves its pool for standby.
	MinIdle time.Duration
	// MinFreeCPU is the free capacity, in thousandths of a core, that a pool keeps when instances leave.
	MinFreeCPU int64
	// TurnoverShare is the share of the used capacity that a pool is expected to free before an instance arrives.
	TurnoverShare float64
	// ForecastShare is the share of the forecast load that a pool fetches instances for before its tasks wait.
	ForecastShare float64
}

// DefaultPolicy returns the thresholds for the users' deployments. A move costs as much as 1.1 s of an instance in a
// pool, so a round trip pays off after about 2 s of absence. A move takes 1.5 s, during which a pool of tasks of one to
// two seconds frees part of its capacity. MinFreeCPU covers the first seconds of a peak, until instances arrive.
func DefaultPolicy() Policy {
	return Policy{MinIdle: time.Second, MinFreeCPU: 32_000, TurnoverShare: 0.2, ForecastShare: 0.8}
}

// Instance is an instance that can be moved: up and idle.
type Instance struct {
	ID       string
	CPU      int64 // thousandths of a core
	IdleTime time.Duration
	// RejectedBy lists the pools that are known to reject the instance.
	RejectedBy []string
	// DueForMaintenance reports whether a wave is going to take the instance down.
	DueForMaintenance bool
	// Evacuated reports whether nothing may be started in the instance's zone. FreeCPU does not contain it.
	Evacuated bool
}

// State is the state of one pool. CPU amounts are in thousandths of a core.
type State struct {
	Name    string
	Standby bool
	// UsedCPU is occupied by tasks, FreeCPU is available to tasks, PendingCPU is requested by tasks that do not fit.
	UsedCPU, FreeCPU, PendingCPU int64
	// IncomingCPU is the capacity of the instances moving into the pool, IncomingInstances their number.
	IncomingCPU       int64
	IncomingInstances int
	// ForecastCPU is the capacity that arriving work keeps busy, ExpectedCPU what accepted jobs will use when an instance
	// that is fetched now arrives, both without long-running tasks, which use LongRunningCPU.
	ForecastCPU, ExpectedCPU, LongRunningCPU int64
	// EvacuatedCPU is occupied in evacuated zones by tasks that end or move there, and will be needed elsewhere. UsedCPU does
	// not contain it; LongRunningCPU contains the part of long-running tasks.
	EvacuatedCPU int64
	// InstancesNeeded is how many additional instances long-running tasks need, regardless of runs that end.
	InstancesNeeded int
	IdleInstances   []Instance
}

// shortage returns the capacity to fetch for the pool, in thousandths of a core.
func (s *State) shortage(p Policy) int64 {
	if s.Standby {
		return 0
	}
	shortage := max(s.PendingCPU-int64(p.TurnoverShare*float64(s.UsedCPU)), s.forecastCPU(p)-s.UsedCPU-s.FreeCPU,
		s.EvacuatedCPU-s.FreeCPU) - s.IncomingCPU
	if s.InstancesNeeded > s.IncomingInstances {
		shortage = max(shortage, 1)
	}
	return shortage
}

// forecastCPU returns the capacity that the pool will need when an instance that is fetched now arrives.
func (s *State) forecastCPU(p Policy) int64 {
	return s.LongRunningCPU + max(int64(p.ForecastShare*float64(s.ForecastCPU)), s.ExpectedCPU)
}

// Move sends an instance to another pool.
type Move struct{ Instance, From, To string }

// Plan returns the moves to order now. Pools with a shortage, the largest first, fetch from standby pools, then from
// pools with idle instances to spare. The remaining spare instances move to standby.
func Plan(pools []State, policy Policy) []Move {
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b State) int { return int(b.shortage(policy) - a.shortage(policy)) })
	var moves []Move
	taken := map[string]bool{}
	for i := range pools {
		to := &pools[i]
		for shortage := to.shortage(policy); shortage > 0; {
			m, cpu := fetch(pools, to, policy, taken)
			if cpu == 0 {
				break
			}
			moves = append(moves, m)
			shortage -= cpu
		}
	}
	return append(moves, release(pools, policy, taken)...)
}

// fetch picks an instance for the pool to, marks it as taken and returns the move and the capacity, 0 if there is none.
// Instances of standby pools go first, then idle ones of pools without a shortage.
func fetch(pools []State, to *State, policy Policy, taken map[string]bool) (Move, int64) {
	for _, standby := range []bool{true, false} {
		for i := range pools {
			from := &pools[i]
			if from.Name == to.Name || from.Standby != standby || from.isShort() {
				continue
			}
			var best *Instance
			for k := range from.IdleInstances {
				inst := &from.IdleInstances[k]
				if taken[inst.ID] || inst.Evacuated || slices.Contains(inst.RejectedBy, to.Name) || !standby && !from.canLend(inst, policy) {
					continue
				}
				if best == nil || preferred(inst, best) {
					best = inst
				}
			}
			if best != nil {
				taken[best.ID] = true
				from.FreeCPU -= best.CPU
				return Move{best.ID, from.Name, to.Name}, best.CPU
			}
		}
	}
	return Move{}, 0
}

// preferred reports whether a is fetched before b: an instance that no wave is about to take down, then the one that
// has been idle for longer.
func preferred(a, b *Instance) bool {
	if a.DueForMaintenance != b.DueForMaintenance {
		return b.DueForMaintenance
	}
	return a.IdleTime > b.IdleTime
}

// isShort reports whether tasks wait for capacity of the pool.
func (s *State) isShort() bool { return s.PendingCPU > 0 || s.InstancesNeeded > 0 }

// canLend reports whether the pool does without the instance in the near future, so that it may go to a pool that is
// short of capacity.
func (s *State) canLend(inst *Instance, policy Policy) bool {
	return !s.isShort() && s.FreeCPU-inst.CPU >= max(policy.MinFreeCPU, s.EvacuatedCPU) &&
		s.UsedCPU+s.FreeCPU-inst.CPU >= s.forecastCPU(policy)
}

// canSpare reports whether the instance may leave the pool for standby. It has to be idle for a while, because a move
// back costs more than a short stay. In an evacuated zone it is of no use to the pool.
func (s *State) canSpare(inst *Instance, policy Policy) bool {
	return inst.IdleTime >= policy.MinIdle && (inst.Evacuated || s.canLend(inst, policy))
}

// release moves spare instances to a standby pool that accepts them.
func release(pools []State, policy Policy, taken map[string]bool) []Move {
	var moves []Move
	for i := range pools {
		from := &pools[i]
		if from.Standby {
			continue
		}
		for k := range from.IdleInstances {
			inst := &from.IdleInstances[k]
			to := standbyFor(pools, inst)
			if to == "" || taken[inst.ID] || !from.canSpare(inst, policy) {
				continue
			}
			taken[inst.ID] = true
			if !inst.Evacuated {
				from.FreeCPU -= inst.CPU
			}
			moves = append(moves, Move{inst.ID, from.Name, to})
		}
	}
	return moves
}

// standbyFor returns the name of the first standby pool that does not reject the instance, or "".
func standbyFor(pools []State, inst *Instance) string {
	for i := range pools {
		if pools[i].Standby && !slices.Contains(inst.RejectedBy, pools[i].Name) {
			return pools[i].Name
		}
	}
	return ""
}
