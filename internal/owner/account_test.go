package owner

import (
	"testing"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/schedule"
)

// Guards against more starts than a worker can answer: they would time out, be stopped and be sent again.
func TestStartsWaitForAnswers(t *testing.T) {
	h := newHarness(t)
	o := stoppedOwner(h)
	w := o.addIdleWorker("w1")
	j := newJob("job", 4_000)
	j.Steps[0].Resources = catalog.Resources{}
	o.addActiveJob(j)
	o.place()
	if len(w.runs) != schedule.MaxStarting {
		t.Fatalf("%d runs placed, want %d", len(w.runs), schedule.MaxStarting)
	}
	o.replan = false
	o.startAnswered(w)
	if !o.replan {
		t.Error("no further placement after an answer")
	}
	if o.place(); len(w.runs) != schedule.MaxStarting+1 {
		t.Errorf("%d runs placed after an answer, want one more", len(w.runs))
	}
}
