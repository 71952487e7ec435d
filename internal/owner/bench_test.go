package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/workload"
)

// BenchmarkTurn plays a turn of the grown deployments: 300 workers, jobs of 13 tasks of some 100 ms handed in faster than
// the pool serves them. It reports the processor time of one task from acceptance to completion, doubles included.
func BenchmarkTurn(b *testing.B) {
	w := newHarness(b)
	w.quiet = true
	for i := range 300 {
		w.addWorker(fmt.Sprint("w", i), 100*time.Millisecond)
	}
	o := w.startOwner(true)
	for len(held(o)) < 300 {
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

// held returns the workers that the owner holds.
func held(o *running) map[string]bool {
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
