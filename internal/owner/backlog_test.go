package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workload"
)

// longRounds makes each placement round take longer than pauseLimit, as beside a backlog on a slow instance.
type longRounds struct{ tally.Scope }

func (s longRounds) Counter(name string) tally.Counter {
	if name == "placement_rounds" {
		return longRoundCounter{}
	}
	return s.Scope.Counter(name)
}

type longRoundCounter struct{}

// Inc implements tally.Counter. It is called at the beginning of each round.
func (longRoundCounter) Inc(int64) { time.Sleep(pauseLimit + 2*tickInterval) }

// Guards against calls that are never answered while each turn of the event loop is longer than pauseLimit: an append confirmed
// the term, and the next turn counted as a pause since.
func TestCallsAreAnsweredBesideLongRounds(t *testing.T) {
	h := newHarness(t)
	h.scope = longRounds{h.scope}
	h.ownerStore = &slowStore{Store: h.store, delay: 5 * time.Millisecond}
	o := h.startOwner(true)
	h.submit(o, newJob("known", 1))
	go func() {
		for wait.For(t.Context(), tickInterval/10) {
			o.post(func() { o.replan = true })
		}
	}()
	for _, name := range []string{"cancel", "status", "await"} { // the job ends with the first
		for _, id := range []string{"known", "unknown"} {
			for range 3 {
				ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
				if err := jobCalls[name](ctx, o, id); err != nil && !errors.Is(err, jobs.ErrNoSuchJob) {
					t.Fatalf("%s of a job that is %s: %v", name, id, err)
				}
				stop()
			}
		}
	}
}

// Guards the order of long rounds and other events: they take at most half of the time.
func TestLongRoundsLeaveTimeForOtherEvents(t *testing.T) {
	h := newHarness(t)
	h.scope = longRounds{h.scope}
	o := h.newOwner(true)
	before := time.Now()
	o.placeRound(before)
	took := time.Since(before)
	after := before.Add(2 * took)
	if o.mayPlace(time.Now()) || !o.mayPlace(after) {
		t.Errorf("the next round may begin at %v, the last one took %v", o.rounds.next.Sub(before), took)
	}
	// Calls that wait for a confirmation after a pause go before the next round.
	o.pauses++
	o.hold(make(reply, 1), func() {})
	if o.mayPlace(after) {
		t.Error("a round may begin while calls wait for a confirmation")
	}
	o.commit.confirmedPauses = o.pauses
	if !o.mayPlace(after) {
		t.Error("no round may begin after a confirmation")
	}
}

// Guards against rounds that take time with the square of what waits: the owner answered hardly any call beside seven schedules
// that were behind, or seven jobs of 3,900 steps. The work of a round is compared with that beside a tenth of the backlog.
func TestRoundsGrowWithTheBacklogAtMostLinearly(t *testing.T) {
	for name, c := range map[string]struct{ small, large backlog }{
		"occurrences at the limit": {backlog{7, 1, 400, 4000}, backlog{7, 1, 4000, 4000}},
		"occurrences":              {backlog{7, 1, 400, 0}, backlog{7, 1, 4000, 0}},
		"steps at the limit":       {backlog{7, 390, 1, 4000}, backlog{7, 3900, 1, 4000}},
		"steps":                    {backlog{7, 390, 1, 0}, backlog{7, 3900, 1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			small, large := roundTime(t, c.small), roundTime(t, c.large)
			// Ten times the backlog takes 10 to 15 times as long, and took 100 times as long.
			if ratio := float64(large) / float64(small); ratio > 40 {
				t.Errorf("a round takes %v, beside a tenth of the backlog %v: %.0f times as long", large, small, ratio)
			}
		})
	}
}

// roundTime returns the shortest of several rounds beside a backlog, each after a run has ended.
func roundTime(t *testing.T, b backlog) time.Duration {
	o := newBackloggedOwner(t, b)
	o.place()
	var times []time.Duration
	for range 9 {
		o.endAnyRun()
		began := time.Now()
		o.place()
		times = append(times, time.Since(began))
		o.commit.dirtyJobs, o.commit.effects = nil, nil
	}
	return slices.Min(times)
}

// endAnyRun ends a run, whose task waits again.
func (o *Owner) endAnyRun() {
	o.term.MarkRenewed()
	o.accounts.starts = 0
	for _, w := range o.workers {
		for _, p := range w.runs {
			o.loseRun(w, p, workload.NeverStarted, "test")
			return
		}
	}
}

// Guards what a round leaves out of a backlog: what waits counts for the pool's size, and the first occurrences are placed first.
func TestRoundListsTheFirstOccurrences(t *testing.T) {
	const waiting = 1000
	o := newBackloggedOwner(t, backlog{jobs: 1, steps: 1, occurrences: waiting})
	o.place()
	placed := waiting - o.waitingTasks()
	if placed != 9*16 {
		t.Errorf("%d tasks are placed, want %d", placed, 9*16)
	}
	if got, want := o.pendingCPU[testPool], int64(waiting-placed)*1000; got != want {
		t.Errorf("%d thousandths of a core are pending, want %d", got, want)
	}
	j := o.active["job-0"]
	for i, occurrence := range j.progress.Current {
		if begun := i < placed; occurrence.Begun() != begun {
			t.Fatalf("occurrence %d has begun: %v, want %v", i, occurrence.Begun(), begun)
		}
	}
	// An occurrence that has begun is listed wherever it stands.
	last := j.progress.Current[waiting-1]
	if err := j.progress.Place(workload.TaskRef{Occurrence: last.Number}, 1, "w0", 1); err != nil {
		t.Fatal(err)
	}
	j.progress.EndRun(j.spec, workload.TaskRef{Occurrence: last.Number}, 1, workload.NeverStarted, "", 0)
	list := appendReady(nil, j, 3)
	numbers := []int{}
	for i := range list {
		numbers = append(numbers, list[i].occurrence.Number)
	}
	if want := []int{placed, placed + 1, placed + 2, waiting - 1}; !slices.Equal(numbers, want) {
		t.Errorf("occurrences %v are listed, want %v", numbers, want)
	}
	if got, want := list[2].unlisted, int64(waiting-1-placed-3); got != want || list[3].unlisted != 0 {
		t.Errorf("%d occurrences are counted with the last one, want %d", got, want)
	}
}

// Guards shares: an organisation at its limit is left out of a round, but counts as one with waiting tasks.
func TestOrganisationAtItsLimitIsLeftOut(t *testing.T) {
	o := newBackloggedOwner(t, backlog{jobs: 2, steps: 1, occurrences: 100, limit: 4000})
	o.place()
	if n := len(o.readySteps()); n != 0 || len(o.rounds.atLimit) != 2 {
		t.Errorf("%d steps are listed, %d jobs are at the limit of their organisation, want 0 and 2", n, len(o.rounds.atLimit))
	}
	other := newJob("other", 1)
	other.Organisation = "other"
	o.addActiveJob(other)
	list := o.readySteps()
	views := o.assignPoolViews(list, time.Now())
	if _, waits := views[testPool].requested["org"]; !waits || len(list) != 1 {
		t.Errorf("%d steps are listed, requests are %v", len(list), views[testPool].requested)
	}
	o.usage["org"] = catalog.Resources{}
	if n := len(o.readySteps()); n != 1+2*(100-2) {
		t.Errorf("%s steps are listed below the limit", fmt.Sprint(n))
	}
}
