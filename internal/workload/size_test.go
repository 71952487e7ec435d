package workload

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// Guards against a bound that is lower than what is recorded: the store refuses larger records.
func TestRecordFitsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := &Job{ID: "a", Queue: "queue", Organisation: "org"}
		for range rapid.IntRange(1, 5).Draw(t, "steps") {
			j.Steps = append(j.Steps, Step{Count: rapid.IntRange(1, 300).Draw(t, "tasks"), LongRunning: rapid.Bool().Draw(t, "long")})
		}
		p := NewProgress(j)
		p.CreateDue(j, 0)
		worker := strings.Repeat("w", rapid.SampledFrom([]int{2, 23, 24, 64, maxWorkerIDBytes}).Draw(t, "worker"))
		run := rapid.SampledFrom([]int{1, 24, 256, 1 << 16, 1 << 31}).Draw(t, "run")
		together := 0
		for step := range j.Steps {
			for index := range p.Current[0].Tasks[step].Len() {
				r := TaskRef{Step: step, Index: index}
				if err := p.Place(r, run, worker, 1<<40); err != nil {
					t.Fatal(err)
				}
				p.Evict(r)
				if long := j.Steps[step].LongRunning; !long && rapid.Bool().Draw(t, "ended") {
					p.EndRun(j, r, run, Errored, "", 1<<10)
				} else if long {
					together++
				}
			}
		}
		encoded, err := cbor.Marshal(p.WithoutIdleWorkers())
		if err != nil {
			t.Fatal(err)
		}
		if n := len(encoded); n > p.RecordBytes() || n > p.MaxRecordBytes() {
			t.Errorf("%d bytes, bounds %d and %d", n, p.RecordBytes(), p.MaxRecordBytes())
		}
		p.EachPlaced(func(r TaskRef, _ *Task) {
			if !j.Steps[r.Step].LongRunning {
				p.EndRun(j, r, run, Errored, "", 1<<10)
			}
		})
		if encoded, err = cbor.Marshal(p.WithoutIdleWorkers()); err != nil || len(encoded) > j.MinRecordBytes() {
			t.Errorf("%d bytes with %d long-running tasks, bound %d: %v", len(encoded), together, j.MinRecordBytes(), err)
		}
	})
}
