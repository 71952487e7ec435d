package owner

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workload"
)

// A malformed job from a peer must be rejected before it reaches the event loop or the store, where it would end each
// owner that reads it.
func TestMalformedJobIsRejected(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 20*time.Millisecond)
	o := h.startOwner(true)
	for name, change := range map[string]func(*workload.Job){
		"no steps":                               func(j *workload.Job) { j.Steps = nil },
		"unknown step":                           func(j *workload.Job) { j.Steps[0].After = []int{7} },
		"step after itself":                      func(j *workload.Job) { j.Steps[0].After = []int{0} },
		"due times beyond the range of time":     func(j *workload.Job) { j.Repeats, j.PeriodMS = 1<<40, 1<<40 },
		"first due time below the range of time": func(j *workload.Job) { j.Repeats, j.PeriodMS, j.FirstDueMS = 1<<60, 1, math.MinInt64 },
		"negative count":                         func(j *workload.Job) { j.Steps[0].Count = -1 },
	} {
		j := newJob("bad", 1)
		change(j)
		var rejection *jobs.Rejection
		if err := o.Submit(t.Context(), j); !errors.As(err, &rejection) || !rejection.Permanent {
			t.Errorf("%s: %v, want a permanent rejection", name, err)
		}
	}
	h.submit(o, newJob("good", 1))
	h.awaitState(o, "good", workload.Completed)
}

// Malformed records must not end a successor: it skips them and serves the other jobs.
func TestMalformedRecordsAreSkipped(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", 0)
	encode := func(v any) []byte {
		data, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	put := func(key string, value []byte) { h.store.Put(jobsTopic, key, value) }
	cyclic := newJob("cyclic", 1, 1)
	cyclic.Steps[0].After = []int{1}
	put(jobKeyPrefix+"cyclic", encode(cyclic))
	put(jobKeyPrefix+"shape", encode(newJob("shape", 2, 3)))
	put(progressKeyPrefix+"shape", encode(&workload.Progress{Current: []*workload.Occurrence{{Tasks: make([]workload.TaskList, 1)}}}))
	put(jobKeyPrefix+"bytes", []byte{0xff, 0x00, 0x9f})
	put(progressKeyPrefix+"bytes", []byte("not a progress"))
	put(jobKeyPrefix+"empty", encode(map[int]int{}))
	put(waveKeyPrefix+"1", []byte{0x80})
	put(lossKeyPrefix+"w9", []byte{0x61})
	put(moveKeyPrefix+"i9", []byte{0x1b})
	put("?", []byte("?"))
	o := h.startOwner(true)
	h.submit(o, newJob("good", 1))
	h.await("the other job runs", func() bool { return len(h.startsOf("good.0.0.0")) == 1 })
}

// A panic of the event loop must end the term only, and no call may hang.
func TestPanicEndsTheTerm(t *testing.T) {
	h := newHarness(t)
	o := h.startOwner(true)
	o.post(func() { panic("fault of a test") })
	select {
	case err := <-o.done:
		if err == nil {
			t.Error("the term ended without a cause")
		}
	case <-time.After(awaitTimeout):
		t.Fatal("the term goes on")
	}
	if err := o.Submit(t.Context(), newJob("a", 1)); err == nil {
		t.Error("an ended owner accepted a job")
	}
	second := h.startOwner(true)
	h.submit(second, newJob("b", 1))
	if _, err := second.Status(t.Context(), "b", "org"); err != nil {
		t.Error(err)
	}
}
