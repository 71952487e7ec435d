package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/workload"
)

// BenchmarkOverloadedPool submits jobs of 13 tasks of about 100 ms faster than a pool of 300 workers, the size of the
// larger deployments, completes them. It reports the time per task from acceptance to completion, including test
// doubles.
func BenchmarkOverloadedPool(b *testing.B) {
	h := newHarness(b)
	h.discardLogs = true
	for i := range 300 {
		h.addWorker(fmt.Sprint("w", i), 100*time.Millisecond)
	}
	o := h.startOwner(true)
	for len(workersWithSession(o)) < 300 {
		time.Sleep(10 * time.Millisecond)
	}
	b.ResetTimer()
	const tasks = 13
	for n := range b.N/tasks + 1 {
		j := newJob(fmt.Sprintf("job%d", n), tasks)
		if err := o.Submit(b.Context(), j); err != nil {
			b.Fatal(err)
		}
		if n%50 == 49 {
			if _, err := o.Await(b.Context(), fmt.Sprintf("job%d", n-40), "org"); err != nil {
				b.Fatal(err)
			}
		}
	}
	if status, err := o.Await(b.Context(), fmt.Sprintf("job%d", b.N/tasks), "org"); err != nil || status.State != workload.Completed {
		b.Fatal(status, err)
	}
	b.StopTimer()
	o.stop()
}

// workersWithSession returns the IDs of the workers with an established session.
func workersWithSession(o *runningOwner) map[string]bool {
	all := map[string]bool{}
	done := make(chan struct{})
	o.post(func() {
		for id, w := range o.workers {
			if w.sessionEstablished {
				all[id] = true
			}
		}
		close(done)
	})
	<-done
	return all
}
