package owner

import (
	"slices"
	"strings"

	"github.com/pollenford/pollenford/internal/workers"
)

// workerIndex finds workers by pool and by instance, so that a placement round walks one pool and a directory record one
// instance, whatever the size of the fleet.
type workerIndex struct {
	// byPool holds the workers of each pool ordered by ID; nil after a change, until the next look-up.
	byPool     map[string][]*worker
	byInstance map[string][]*worker
	// unconfigured holds, by ID, the workers of pools that are not configured.
	unconfigured map[string]workers.Info
}

// moved updates the index after a worker's pool or instance changed, or after the worker was created.
func (x *workerIndex) moved(w *worker, previousInstance string) {
	x.byPool = nil
	if w.info.Instance == previousInstance {
		return
	}
	x.leaveInstance(w, previousInstance)
	if w.info.Instance != "" {
		if x.byInstance == nil {
			x.byInstance = map[string][]*worker{}
		}
		x.byInstance[w.info.Instance] = append(x.byInstance[w.info.Instance], w)
	}
}

// removed updates the index after a worker was removed.
func (x *workerIndex) removed(w *worker) {
	x.byPool = nil
	x.leaveInstance(w, w.info.Instance)
}

func (x *workerIndex) leaveInstance(w *worker, instance string) {
	rest := slices.DeleteFunc(x.byInstance[instance], func(other *worker) bool { return other == w })
	if len(rest) == 0 {
		delete(x.byInstance, instance)
		return
	}
	x.byInstance[instance] = rest
}

// workersOf returns the workers of a pool ordered by ID. Callers must not change the slice.
func (o *Owner) workersOf(pool string) []*worker {
	x := &o.workerIndex
	if x.byPool == nil {
		x.byPool = map[string][]*worker{}
		for _, w := range o.workers {
			x.byPool[w.info.Pool] = append(x.byPool[w.info.Pool], w)
		}
		for _, list := range x.byPool {
			slices.SortFunc(list, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
		}
	}
	return x.byPool[pool]
}
