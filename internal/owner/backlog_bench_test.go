package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/leader"
)

// backlog describes what waits in a pool of nine workers.
type backlog struct {
	jobs, steps, occurrences int // steps of a job, and its occurrences that are due
	limit                    int64
}

// newBackloggedOwner returns an owner, without its event loop, with nine workers and a backlog of one organisation.
func newBackloggedOwner(t testing.TB, b backlog) *Owner {
	h := newHarness(t)
	h.setLimit(catalog.Resources{CPU: b.limit})
	o := New(context.Background(), Config{
		Store: h.store, Workers: h.fleet, Codec: codec{}, Catalog: h.catalog.Load, OnCatalog: func(*catalog.Catalog) {},
		Evacuations: noEvacuations(time.Hour), MaxRecordBytes: 256 << 10, MaxAppendBytes: 2 << 20, Scope: h.scope,
		Log: hclog.NewNullLogger(),
	}, leader.NewTerm(1, true))
	for i := range 9 {
		w := o.addIdleWorker(fmt.Sprint("w", i))
		w.info.Capacity = catalog.Resources{CPU: 16_000, MemoryMB: 32_000}
	}
	for i := range b.jobs {
		counts := make([]int, b.steps)
		for k := range counts {
			counts[k] = 1
		}
		spec := newJob(fmt.Sprint("job-", i), counts...)
		for k := range spec.Steps {
			spec.Steps[k].After = nil
		}
		if b.occurrences > 1 {
			spec.Repeats, spec.PeriodMS = 100_000, 1000
			spec.FirstDueMS = time.Now().Add(-time.Duration(b.occurrences-1) * time.Second).UnixMilli()
		}
		o.addActiveJob(spec)
	}
	return o
}

// waitingTasks returns the number of tasks that wait.
func (o *Owner) waitingTasks() (n int) {
	for _, j := range o.active {
		for _, occurrence := range j.progress.Current {
			for step := range occurrence.Tasks {
				n += occurrence.Tasks[step].Waiting()
			}
		}
	}
	return n
}

// BenchmarkBacklogRound measures a placement round, and a plan of the pools, beside a backlog of one organisation after one of its
// runs has ended.
func BenchmarkBacklogRound(b *testing.B) {
	for _, c := range []backlog{
		{1, 1, 10, 4000}, {1, 1, 1000, 4000}, {7, 1, 4000, 4000},
		{1, 1, 10, 0}, {1, 1, 1000, 0}, {7, 1, 4000, 0},
		{7, 3900, 1, 4000}, {7, 3900, 1, 0},
	} {
		b.Run(fmt.Sprintf("jobs=%d/steps=%d/occurrences=%d/limit=%d", c.jobs, c.steps, c.occurrences, c.limit), func(b *testing.B) {
			o := newBackloggedOwner(b, c)
			o.place()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				o.endAnyRun() // the backlog stays
				o.place()
				o.expectedCPU(time.Now())
				o.commit.dirtyJobs, o.commit.effects = nil, nil
			}
		})
	}
}
