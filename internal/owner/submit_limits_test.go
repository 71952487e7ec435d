package owner

import (
	"fmt"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
	"github.com/pollenford/pollenford/internal/workload"
)

// drawNear draws a number around one of the limits, or any.
func drawNear(t *rapid.T, label string, limits ...int) int {
	limit := rapid.SampledFrom(limits).Draw(t, label)
	return rapid.IntRange(max(limit-2, 0), limit+2).Draw(t, label+" near its limit")
}

// drawAmount draws an amount of a resource, often an extreme one.
func drawAmount(t *rapid.T, label string) int64 {
	return rapid.OneOf(rapid.Int64Range(0, 3000), rapid.SampledFrom([]int64{math.MinInt64, -1, 1 << 30, 1 << 40, 1 << 62, math.MaxInt64})).Draw(t, label)
}

func drawTime(t *rapid.T, label string) time.Duration {
	return rapid.SampledFrom([]time.Duration{math.MinInt64, -1, 0, time.Millisecond, time.Second, 1 << 55, math.MaxInt64}).Draw(t, label)
}

// drawJob draws a job around the limits of the store and of the fields.
func drawJob(t *rapid.T, maxRecordBytes int) *workload.Job {
	j := newJob("drawn", 1)
	if rapid.Bool().Draw(t, "long ID") {
		j.ID += strings.Repeat("i", max(0, drawNear(t, "ID", 16, workload.MaxIDBytes, 255, 4096)-len(j.ID)))
	}
	if rapid.Bool().Draw(t, "long spec") {
		j.Spec = strings.Repeat("s", drawNear(t, "spec", workload.MaxSpecBytes, maxRecordBytes))
	}
	if rapid.Bool().Draw(t, "long label") {
		j.Steps[0].DataRack = strings.Repeat("r", drawNear(t, "rack", 255, maxRecordBytes-300, maxRecordBytes))
	}
	if rapid.Bool().Draw(t, "many tasks") {
		j.Steps[0].Count = drawNear(t, "tasks", 0, workload.MaxTasks)
	}
	if rapid.Bool().Draw(t, "many steps") {
		for range drawNear(t, "steps", 10, 1000) {
			j.Steps = append(j.Steps, workload.Step{Count: 1, Resources: catalog.Resources{CPU: 1}, After: []int{0}})
		}
	}
	if rapid.Bool().Draw(t, "odd numbers") {
		s := &j.Steps[0]
		s.Resources = catalog.Resources{CPU: drawAmount(t, "CPU"), MemoryMB: drawAmount(t, "memory"), GPU: drawAmount(t, "GPU")}
		s.Estimate, s.TailLatencyTarget = drawTime(t, "estimate"), drawTime(t, "latency target")
		s.MaxPerWorker, s.MaxUnavailable = int(drawAmount(t, "tasks per worker")), int(drawAmount(t, "unavailable tasks"))
		s.After = []int{rapid.IntRange(-1, 1).Draw(t, "after")}
	}
	if rapid.Bool().Draw(t, "scheduled") {
		j.Repeats = rapid.SampledFrom([]int{-1, 1, 3, math.MaxInt}).Draw(t, "occurrences")
		j.FirstDueMS, j.PeriodMS = drawAmount(t, "first due"), drawAmount(t, "period")
	}
	return j
}

// Guards against one submission, or one report of a worker, that keeps everything from being recorded or started: a record
// that the store never accepts, or numbers whose sums overflow. Whatever was submitted before, a usual job is completed, and
// nothing that was rejected has run.
func TestSubmissionsAroundTheLimitsHarmNoOthers(t *testing.T) {
	t.Parallel()
	const (
		draws     = 40
		usualTime = 10 * time.Second
	)
	h := newHarness(t)
	h.discardLogs = true
	h.store.MaxRecordBytes = 64 << 10
	limit := catalog.Resources{CPU: 2000, MemoryMB: 2000} // half of the worker
	h.catalog.Store(catalog.New(1,
		[]*catalog.Queue{{Name: "queue", Pool: testPool, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second}},
		[]*catalog.Pool{{Name: testPool, EnforcesCapacity: true}},
		[]*catalog.Organisation{{Name: "org", Weight: 1}, {Name: "odd", Limit: limit, Weight: 1}}, catalog.HTTPLimits{}))
	var checkpointBytes atomic.Int64
	h.addWorker("w1", 0).WorkForSpec = func(string) workertest.Work {
		checkpoint := strings.Repeat("c", int(checkpointBytes.Load()))
		return workertest.Work{RunTime: time.Millisecond, EndReason: workers.Done, FinalCheckpoint: checkpoint}
	}
	o := h.startOwner(true)
	generator := rapid.Custom(func(t *rapid.T) drawnSubmission {
		return drawnSubmission{drawJob(t, h.store.MaxRecordBytes), drawNear(t, "checkpoint", 16, h.store.MaxRecordBytes/2, h.store.MaxRecordBytes)}
	})
	for seed := range draws {
		d := generator.Example(seed)
		checkpointBytes.Store(int64(d.checkpointBytes))
		d.job.ID = fmt.Sprint(seed, d.job.ID)
		d.job.Organisation = "odd"
		err := o.Submit(t.Context(), d.job)
		var rejection *jobs.Rejection
		if err != nil && (!errors.As(err, &rejection) || !rejection.Permanent) {
			t.Errorf("seed %d: neither accepted nor rejected for good: %v", seed, err)
		}
		usual := newJob(fmt.Sprint("usual-", seed), 1)
		if err := o.Submit(t.Context(), usual); err != nil {
			t.Fatalf("seed %d: a usual job: %v", seed, err)
		}
		for deadline := time.Now().Add(usualTime); h.status(o, usual.ID).State != workload.Completed; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("seed %d: a usual job is not completed after %v", seed, usualTime)
			}
		}
		if err == nil {
			if cancelErr := o.Cancel(t.Context(), d.job.ID, "odd"); cancelErr != nil {
				t.Errorf("seed %d: cancelling the drawn job: %v", seed, cancelErr)
			}
		} else if n := len(h.startsOf(workload.TaskName(d.job.ID, workload.TaskRef{}))); n > 0 {
			t.Errorf("seed %d: a rejected job was started %d times", seed, n)
		}
		h.inLoop(o, func() {
			if u := o.usage["odd"]; u.CPU < 0 || u.CPU > limit.CPU || u.MemoryMB < 0 || u.MemoryMB > limit.MemoryMB {
				t.Errorf("seed %d: the organisation uses %+v", seed, u)
			}
		})
	}
}

// drawnSubmission is a job, and the length of the checkpoints that workers report meanwhile.
type drawnSubmission struct {
	job             *workload.Job
	checkpointBytes int
}
