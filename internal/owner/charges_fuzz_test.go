package owner

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/workers/workertest"
)

// chargeCall is one call of a sequence. Its argument selects the job and its form.
func chargeCall(t *testing.T, h *harness, o *runningOwner, list []*workertest.Worker, kind, argument byte) {
	id := fmt.Sprint("job", argument%16)
	switch kind % 6 {
	case 0, 1:
		j := newJob(id, int(argument%7)+1, int(argument%3)+1)
		j.Steps[0].Gang = argument&8 != 0
		j.Steps[1].LongRunning = argument&16 != 0
		if argument&32 != 0 {
			j.Repeats, j.PeriodMS, j.FirstDueMS = 5, 50, time.Now().UnixMilli()
		}
		if argument&64 != 0 {
			j.Steps[0].RequiredLabel = "absent"
		}
		var rejection *jobs.Rejection
		if err := o.Submit(t.Context(), j); err != nil && !errors.As(err, &rejection) {
			t.Fatal(err)
		}
	case 2:
		if err := o.Cancel(t.Context(), id, "org"); err != nil && !errors.Is(err, jobs.ErrNoSuchJob) {
			t.Fatal(err)
		}
	case 3:
		list[int(argument)%len(list)].SetUnresponsive(argument&8 != 0)
	case 4:
		time.Sleep(time.Duration(argument) * 10 * time.Millisecond)
	case 5:
		h.inLoop(o, func() {
			for _, j := range o.jobs {
				before := j.charge
				if o.account(j); j.charge != before {
					t.Errorf("job %s was charged %+v, its state takes %+v", j.spec.ID, before, j.charge)
				}
			}
		})
	}
}

// Guards against charges that differ from the state that they stand for, or stay when all is over, whatever clients and workers
// do.
func FuzzChargesFollowTheState(f *testing.F) {
	f.Add([]byte{0, 3, 5, 0, 4, 20, 5, 0, 2, 3, 4, 200, 5, 0})
	f.Add([]byte{0, 40, 4, 30, 5, 0, 2, 40, 2, 9, 0, 9, 5, 0, 3, 8, 4, 255, 4, 255, 3, 0, 5, 0})
	f.Add([]byte{0, 8, 1, 24, 0, 32, 1, 64, 0, 127, 4, 100, 5, 0, 3, 9, 4, 255, 5, 0, 2, 8, 2, 0})
	f.Fuzz(func(t *testing.T, calls []byte) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			h.discardLogs = true
			list := []*workertest.Worker{h.addWorker("w1", 30*time.Millisecond), h.addWorker("w2", 200*time.Millisecond)}
			o := h.startOwner(true)
			for i := 0; i+1 < min(len(calls), 80); i += 2 {
				chargeCall(t, h, o, list, calls[i], calls[i+1])
			}
			for _, w := range list {
				w.SetUnresponsive(false)
			}
			h.inLoop(o, func() {
				for _, j := range o.active {
					j.progress.Cancel()
					o.endJob(j)
				}
			})
			time.Sleep(2 * h.config(nil).Timing.StatusRetention)
			h.inLoop(o, func() {
				a := &o.accounts
				if a.accepted.Used() != 0 || a.begun.Used() != 0 || a.starts != 0 || len(o.jobs) != 0 {
					t.Errorf("%d and %d bytes and %d starts stay charged, %d jobs are kept", a.accepted.Used(), a.begun.Used(), a.starts, len(o.jobs))
				}
				for _, w := range o.workers {
					if w.starting != 0 {
						t.Errorf("%d starts of %s count as unanswered", w.starting, w.info.ID)
					}
				}
			})
			o.stop()
		})
	})
}
