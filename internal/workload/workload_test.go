package workload

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// drawJob draws a job of a few steps.
func drawJob(t *rapid.T) *Job {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Spec: "s"}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := Step{Count: rapid.IntRange(1, 4).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang")}
		for before := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, before)
			}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// placed is a run as a worker knows it.
type placed struct {
	ref TaskRef
	run int
}

// Guards the state machine: whatever the order of ends, losses, repeated ends, cancels and take-overs, no task is placed
// twice at a time, none before its predecessors are done, none after it is done, run numbers only rise, and a job that
// keeps working completes.
func TestProgressUnderAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		if err := j.Validate(); err != nil {
			t.Fatalf("drawn job: %v", err)
		}
		p := NewProgress(j)
		p.CreateDue(j, 0)
		open := map[TaskRef]placed{}
		var past []placed
		done := map[TaskRef]bool{}
		highest := map[TaskRef]int{}
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // a successor reads what was recorded
				data, err := cbor.Marshal(p)
				if err != nil {
					t.Fatal(err)
				}
				p = &Progress{}
				if err := cbor.Unmarshal(data, p); err != nil {
					t.Fatal(err)
				}
				p.RebuildIndex()
			case 1: // an old end arrives again
				if len(past) > 0 {
					old := rapid.SampledFrom(past).Draw(t, "old")
					if outcome := p.EndRun(j, old.ref, old.run, Succeeded, "", 3); outcome != Ignored {
						t.Fatalf("a repeated end of %v led to %v", old, outcome)
					}
				}
			case 2, 3, 4:
				if p.State == Active {
					place(t, j, p, open, done, highest)
				}
			default:
				endOne(t, j, p, open, done, &past)
			}
		}
		// From here on everything goes well.
		for range 200 {
			if p.State == Active {
				place(t, j, p, open, done, highest)
			}
			for _, run := range open {
				finish(t, j, p, run, open, done, &past)
				break
			}
		}
		if p.State != Completed && p.State != Failed || len(p.Current) > 0 {
			t.Fatalf("the job ended as %v with %d occurrences", p.State, len(p.Current))
		}
	})
}

// place places every task of one ready step.
func place(t *rapid.T, j *Job, p *Progress, open map[TaskRef]placed, done map[TaskRef]bool, highest map[TaskRef]int) {
	for _, o := range p.Current {
		for step := range j.Steps {
			if !o.Ready(j, step) {
				continue
			}
			for _, before := range j.Steps[step].After {
				for i := range j.Steps[before].Count {
					if !done[TaskRef{o.Number, before, i}] {
						t.Fatalf("step %d is ready before task %d of step %d is done", step, i, before)
					}
				}
			}
			run := 0
			for i := range o.Tasks[step] {
				if o.Tasks[step][i].Phase != Waiting {
					continue
				}
				ref := TaskRef{o.Number, step, i}
				if done[ref] {
					t.Fatalf("task %v waits although it is done", ref)
				}
				if run == 0 || !j.Steps[step].Gang {
					run = p.NextRun(j, ref)
				}
				if run <= highest[ref] {
					t.Fatalf("run %d of %v after run %d", run, ref, highest[ref])
				}
				if err := p.Place(ref, run, "w", 1); err != nil {
					t.Fatal(err)
				}
				if err := p.Place(ref, run+1, "w", 1); err == nil {
					t.Fatalf("task %v was placed twice", ref)
				}
				highest[ref] = run
				open[ref] = placed{ref, run}
			}
			return
		}
	}
}

func endOne(t *rapid.T, j *Job, p *Progress, open map[TaskRef]placed, done map[TaskRef]bool, past *[]placed) {
	for _, run := range open {
		switch rapid.IntRange(0, 3).Draw(t, "how") {
		case 0: // lost
			p.EndRun(j, run.ref, run.run, Interrupted, "", 3)
			delete(open, run.ref)
			*past = append(*past, run)
		case 1: // failed
			p.EndRun(j, run.ref, run.run, Errored, "c", 3)
			delete(open, run.ref)
			*past = append(*past, run)
		default:
			finish(t, j, p, run, open, done, past)
		}
		return
	}
}

// finish ends a run as done; one end of a gang stands for its step.
func finish(t *rapid.T, j *Job, p *Progress, run placed, open map[TaskRef]placed, done map[TaskRef]bool, past *[]placed) {
	outcome := p.EndRun(j, run.ref, run.run, Succeeded, "", 3)
	delete(open, run.ref)
	*past = append(*past, run)
	if outcome != TaskFinished && outcome != JobEnded {
		return
	}
	done[run.ref] = true
	if j.Steps[run.ref.Step].Gang {
		for i := range j.Steps[run.ref.Step].Count {
			ref := TaskRef{run.ref.Occurrence, run.ref.Step, i}
			done[ref] = true
			if other, ok := open[ref]; ok {
				delete(open, ref)
				*past = append(*past, other)
			}
		}
	}
	if outcome == JobEnded && p.State == Completed {
		for step := range j.Steps {
			for i := range j.Steps[step].Count {
				if !done[TaskRef{run.ref.Occurrence, step, i}] {
					t.Fatalf("the job completed before task %d of step %d was done", i, step)
				}
			}
		}
	}
}

// Guards schedules: an occurrence exists from its due time on and not before, and the job completes after the last one.
func TestOccurrencesComeDue(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 1}}, Repeats: 3, FirstDueMS: 1000, PeriodMS: 500}
	p := NewProgress(j)
	for _, c := range []struct {
		now  int64
		want int
	}{{999, 0}, {1000, 1}, {1499, 1}, {2000, 3}, {9000, 3}} {
		p.CreateDue(j, c.now)
		if p.Created != c.want {
			t.Errorf("at %d ms: %d occurrences, want %d", c.now, p.Created, c.want)
		}
	}
	for k := range 3 {
		if p.State != Active {
			t.Fatalf("state %v before the last occurrence ended", p.State)
		}
		if err := p.Place(TaskRef{k, 0, 0}, 1, "w", 1); err != nil {
			t.Fatal(err)
		}
		p.EndRun(j, TaskRef{k, 0, 0}, 1, Succeeded, "", 1)
	}
	if p.State != Completed {
		t.Errorf("state %v, want completed", p.State)
	}
}

// Guards lasting tasks: they wait for another run however they end, and never fail their job.
func TestLastingTasksAreStartedAgain(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 1, LongRunning: true}}}
	p := NewProgress(j)
	p.CreateDue(j, 0)
	for run := 1; run <= 5; run++ {
		if err := p.Place(TaskRef{}, run, "w", 1); err != nil {
			t.Fatal(err)
		}
		if outcome := p.EndRun(j, TaskRef{}, run, RunResult(run%4), "", 1); outcome != Requeued {
			t.Fatalf("run %d: %v, want requeued", run, outcome)
		}
	}
}

// Guards work that must not run twice: after a run that may have begun there is no other, and the client learns whether
// the run reported its failure or was cut off.
func TestOnceEndsWithTheFirstRunThatMayHaveBegun(t *testing.T) {
	for _, c := range []struct {
		ending      RunResult
		outcome     Transition
		state       State
		interrupted bool
	}{
		{Succeeded, JobEnded, Completed, false}, {Errored, JobEnded, Failed, false}, {Interrupted, JobEnded, Failed, true}, {NeverStarted, Requeued, Active, false},
	} {
		j := &Job{Steps: []Step{{Count: 1, AtMostOnce: true}}, KeepsAnswer: true}
		p := NewProgress(j)
		p.CreateDue(j, 0)
		if err := p.Place(TaskRef{}, 1, "w", 1); err != nil {
			t.Fatal(err)
		}
		outcome := p.EndRun(j, TaskRef{}, 1, c.ending, "answer", 3)
		if outcome != c.outcome || p.State != c.state || p.Interrupted != c.interrupted || (p.Answer != "") != (c.ending == Succeeded) {
			t.Errorf("ending %d: %v, %+v", c.ending, outcome, p)
		}
	}
}

// Guards the names that workers echo: only what TaskName made is read.
func TestTaskNames(t *testing.T) {
	ref := TaskRef{Occurrence: 2, Step: 1, Index: 17}
	id, back, err := ParseTaskName(TaskName("5c0e7a21d94b36f8", ref))
	if err != nil || id != "5c0e7a21d94b36f8" || back != ref {
		t.Errorf("%v %v %v", id, back, err)
	}
	for _, bad := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		if _, _, err := ParseTaskName(bad); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// Guards against jobs that cannot be run or stored.
func TestCheckRefusesBadJobs(t *testing.T) {
	good := func() *Job { return &Job{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}} }
	if err := good().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Job){
		"no steps":        func(j *Job) { j.Steps = nil },
		"no tasks":        func(j *Job) { j.Steps[0].Count = 0 },
		"too many tasks":  func(j *Job) { j.Steps[0].Count = MaxTasks },
		"itself before":   func(j *Job) { j.Steps[1].After = []int{1} },
		"unknown before":  func(j *Job) { j.Steps[1].After = []int{-1} },
		"negative amount": func(j *Job) { j.Steps[0].Resources.CPU = -1 },
		"no period":       func(j *Job) { j.Repeats = 2 },
		"long spec":       func(j *Job) { j.Spec = fmt.Sprintf("%5000d", 1) },
	} {
		j := good()
		spoil(j)
		if j.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
