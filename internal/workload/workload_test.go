package workload

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// drawJob draws a job of one to four steps.
func drawJob(t *rapid.T) *Job {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Spec: "s"}
	for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
		s := Step{Count: rapid.IntRange(1, 4).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang")}
		for predecessor := range i {
			if rapid.Bool().Draw(t, "after") {
				s.After = append(s.After, predecessor)
			}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// Whole steps lose their checkpoints, those with the most bytes first, and the progress itself keeps them.
func TestWithoutCheckpoints(t *testing.T) {
	task := func(bytes int) Task { return Task{Phase: Waiting, Checkpoint: strings.Repeat("c", bytes)} }
	progress := func(steps ...[]Task) *Progress {
		o := &Occurrence{}
		for _, tasks := range steps {
			o.Tasks = append(o.Tasks, ListOf(tasks...))
		}
		return &Progress{Current: []*Occurrence{o}}
	}
	for name, c := range map[string]struct {
		save int
		want *Progress
	}{
		"nothing":    {0, progress([]Task{task(1), task(1)}, []Task{task(10)}, []Task{task(4), task(0)})},
		"largest":    {1, progress([]Task{task(1), task(1)}, []Task{task(0)}, []Task{task(4), task(0)})},
		"second too": {11, progress([]Task{task(1), task(1)}, []Task{task(0)}, []Task{task(0), task(0)})},
		"all":        {1000, progress([]Task{task(0), task(0)}, []Task{task(0)}, []Task{task(0), task(0)})},
	} {
		p := progress([]Task{task(1), task(1)}, []Task{task(10)}, []Task{task(4), task(0)})
		if got := p.WithoutCheckpoints(c.save); !bytes.Equal(encode(t, got), encode(t, c.want)) {
			t.Errorf("%s: %+v, want %+v", name, got.Current[0], c.want.Current[0])
		}
		if len(p.Current[0].Tasks[1].At(0).Checkpoint) != 10 {
			t.Errorf("%s: the progress itself was changed", name)
		}
	}
}

// encode returns the record of a progress.
func encode(t *testing.T, p *Progress) []byte {
	data, err := cbor.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// placed identifies a run that was placed on a worker.
type placed struct {
	ref TaskRef
	run int
}

// Guards the state machine: in any order of ends, losses, repeated ends and owner changes, no task is placed twice at a
// time, before its predecessors finish or after it finishes; run numbers only rise; a job whose runs succeed ends.
func TestProgressUnderAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		if err := j.Validate(); err != nil {
			t.Fatalf("drawn job: %v", err)
		}
		p := NewProgress(j)
		p.CreateDue(j, 0)
		running := map[TaskRef]placed{}
		var ended []placed
		done := map[TaskRef]bool{}
		lastRun := map[TaskRef]int{}
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the next owner reads the recorded progress
				data, err := cbor.Marshal(p)
				if err != nil {
					t.Fatal(err)
				}
				p = &Progress{}
				if err := cbor.Unmarshal(data, p); err != nil {
					t.Fatal(err)
				}
			case 1: // an end is repeated
				if len(ended) > 0 {
					old := rapid.SampledFrom(ended).Draw(t, "old")
					if transition := p.EndRun(j, old.ref, old.run, Succeeded, "", 3); transition != Ignored {
						t.Fatalf("the repeated end of %v led to %v", old, transition)
					}
				}
			case 2: // an eviction is decided
				for ref := range running {
					if now := p.Evict(ref); now && p.State != Active && !known(p, ref) || !p.IsEvicted(ref) {
						t.Fatalf("the eviction of %v was not recorded", ref)
					}
					break
				}
			case 3, 4:
				if p.State == Active {
					place(t, j, p, running, done, lastRun)
				}
			default:
				endOne(t, j, p, running, done, &ended)
			}
		}
		// All remaining runs succeed.
		for range 200 {
			if p.State == Active {
				place(t, j, p, running, done, lastRun)
			}
			for _, run := range running {
				finish(t, j, p, run, running, done, &ended)
				break
			}
		}
		if p.State != Completed && p.State != Failed || len(p.Current) > 0 {
			t.Fatalf("the job ended as %v with %d occurrences", p.State, len(p.Current))
		}
	})
}

// known reports whether a task belongs to a current occurrence.
func known(p *Progress, r TaskRef) bool {
	_, ok := p.Task(r)
	return ok
}

// place places every task of one ready step.
func place(t *rapid.T, j *Job, p *Progress, running map[TaskRef]placed, done map[TaskRef]bool, lastRun map[TaskRef]int) {
	for _, o := range p.Current {
		for step := range j.Steps {
			if !o.Ready(j, step) {
				continue
			}
			for _, predecessor := range j.Steps[step].After {
				for i := range j.Steps[predecessor].Count {
					if !done[TaskRef{o.Number, predecessor, i}] {
						t.Fatalf("step %d is ready before task %d of step %d is finished", step, i, predecessor)
					}
				}
			}
			run := 0
			for i := range o.Tasks[step].Len() {
				if o.Tasks[step].At(i).Phase != Waiting {
					continue
				}
				ref := TaskRef{o.Number, step, i}
				if done[ref] {
					t.Fatalf("task %v waits although it is finished", ref)
				}
				if run == 0 || !j.Steps[step].Gang {
					run = p.NextRun(j, ref)
				}
				if run <= lastRun[ref] {
					t.Fatalf("run %d of %v after run %d", run, ref, lastRun[ref])
				}
				if err := p.Place(ref, run, "w", 1); err != nil {
					t.Fatal(err)
				}
				if err := p.Place(ref, run+1, "w", 1); err == nil {
					t.Fatalf("task %v was placed twice", ref)
				}
				if p.IsEvicted(ref) {
					t.Fatalf("run %d of %v counts as evicted from its start", run, ref)
				}
				lastRun[ref] = run
				running[ref] = placed{ref, run}
			}
			return
		}
	}
}

// endOne ends one placed run with a drawn result.
func endOne(t *rapid.T, j *Job, p *Progress, running map[TaskRef]placed, done map[TaskRef]bool, ended *[]placed) {
	for _, run := range running {
		switch rapid.IntRange(0, 3).Draw(t, "how") {
		case 0: // lost
			p.EndRun(j, run.ref, run.run, Interrupted, "", 3)
			delete(running, run.ref)
			*ended = append(*ended, run)
		case 1: // failed
			p.EndRun(j, run.ref, run.run, Errored, "c", 3)
			delete(running, run.ref)
			*ended = append(*ended, run)
		default:
			finish(t, j, p, run, running, done, ended)
		}
		return
	}
}

// finish ends a run as succeeded; the end of one member ends the whole gang.
func finish(t *rapid.T, j *Job, p *Progress, run placed, running map[TaskRef]placed, done map[TaskRef]bool, ended *[]placed) {
	transition := p.EndRun(j, run.ref, run.run, Succeeded, "", 3)
	delete(running, run.ref)
	*ended = append(*ended, run)
	if transition != TaskFinished && transition != JobEnded {
		return
	}
	done[run.ref] = true
	if j.Steps[run.ref.Step].Gang {
		for i := range j.Steps[run.ref.Step].Count {
			ref := TaskRef{run.ref.Occurrence, run.ref.Step, i}
			done[ref] = true
			if other, ok := running[ref]; ok {
				delete(running, ref)
				*ended = append(*ended, other)
			}
		}
	}
	if transition == JobEnded && p.State == Completed {
		for step := range j.Steps {
			for i := range j.Steps[step].Count {
				if !done[TaskRef{run.ref.Occurrence, step, i}] {
					t.Fatalf("the job completed before task %d of step %d was finished", i, step)
				}
			}
		}
	}
}

// Guards schedules: an occurrence is created when it is due, not before, and the job completes after the last one.
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

// Guards long-running tasks: they are requeued whatever the result of a run, and never fail their job.
func TestLongRunningTasksAreRequeued(t *testing.T) {
	j := &Job{Steps: []Step{{Count: 1, LongRunning: true}}}
	p := NewProgress(j)
	p.CreateDue(j, 0)
	for run := 1; run <= 5; run++ {
		if err := p.Place(TaskRef{}, run, "w", 1); err != nil {
			t.Fatal(err)
		}
		if transition := p.EndRun(j, TaskRef{}, run, RunResult(run%4), "", 1); transition != Requeued {
			t.Fatalf("run %d: %v, want requeued", run, transition)
		}
	}
}

// Guards work that must not run twice: a run that may have started is the last one, and the progress records whether it
// reported a failure or was interrupted.
func TestAtMostOnceEndsWithFirstStartedRun(t *testing.T) {
	for _, c := range []struct {
		result      RunResult
		transition  Transition
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
		transition := p.EndRun(j, TaskRef{}, 1, c.result, "answer", 3)
		if transition != c.transition || p.State != c.state || p.Interrupted != c.interrupted || (p.Answer != "") != (c.result == Succeeded) {
			t.Errorf("result %d: %v, %+v", c.result, transition, p)
		}
	}
}

// Guards the task names that workers echo: ParseTaskName accepts only the format of TaskName.
func TestTaskNames(t *testing.T) {
	ref := TaskRef{Occurrence: 2, Step: 1, Index: 17}
	id, back, err := ParseTaskName(TaskName("5c0e7a21d94b36f8", ref))
	if err != nil || id != "5c0e7a21d94b36f8" || back != ref {
		t.Errorf("%v %v %v", id, back, err)
	}
	for _, bad := range []string{"", "a", "a.0.0", "a.0.0.x", "a.0.-1.0", "a.0.0.0.0"} {
		if _, _, err := ParseTaskName(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// Guards against accepting jobs that cannot be run or stored.
func TestValidateRejectsInvalidJobs(t *testing.T) {
	good := func() *Job { return &Job{Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}} }
	if err := good().Validate(); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Job){
		"no steps":            func(j *Job) { j.Steps = nil },
		"no tasks":            func(j *Job) { j.Steps[0].Count = 0 },
		"too many tasks":      func(j *Job) { j.Steps[0].Count = MaxTasks },
		"depends on itself":   func(j *Job) { j.Steps[1].After = []int{1} },
		"unknown predecessor": func(j *Job) { j.Steps[1].After = []int{-1} },
		"negative amount":     func(j *Job) { j.Steps[0].Resources.CPU = -1 },
		"no period":           func(j *Job) { j.Repeats = 2 },
		"long spec":           func(j *Job) { j.Spec = fmt.Sprintf("%5000d", 1) },
		"long ID":             func(j *Job) { j.ID = strings.Repeat("5", MaxIDBytes+1) },
	} {
		j := good()
		corrupt(j)
		if j.Validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Guards the owner against a schedule that is far behind: all of its occurrences would not fit into a record, and
// creating them at once exhausted the memory of the process.
func TestOccurrencesOfAScheduleFarBehindAreBounded(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Repeats: 1 << 40, PeriodMS: 1, Steps: []Step{{Count: 10}, {Count: 30}}}
	if err := j.Validate(); err != nil {
		t.Fatal(err)
	}
	p := NewProgress(j)
	p.CreateDue(j, 1<<41)
	if want := MaxTasks / 40; len(p.Current) != want {
		t.Errorf("%d occurrences, want %d", len(p.Current), want)
	}
	for i := range 10 {
		ref := TaskRef{Occurrence: 0, Step: 0, Index: i}
		if err := p.Place(ref, 1, "w", 1); err != nil {
			t.Fatal(err)
		}
		p.EndRun(j, ref, 1, Succeeded, "", 3)
	}
	for i := range 30 {
		ref := TaskRef{Occurrence: 0, Step: 1, Index: i}
		if err := p.Place(ref, 1, "w", 1); err != nil {
			t.Fatal(err)
		}
		p.EndRun(j, ref, 1, Succeeded, "", 3)
	}
	if p.CreateDue(j, 1<<41); p.Current[len(p.Current)-1].Number != MaxTasks/40 {
		t.Error("an occurrence that ended was not followed by the next one")
	}
}

// A malformed progress record must be recognised before its indices are used.
func TestProgressOfAnotherShapeIsNotValid(t *testing.T) {
	j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Count: 2}, {Count: 1}}}
	for name, o := range map[string]*Occurrence{
		"no occurrence": nil,
		"no step":       {},
		"fewer steps":   {Tasks: []TaskList{NewTaskList(2)}},
		"fewer tasks":   {Tasks: []TaskList{NewTaskList(1), NewTaskList(1)}},
		"more tasks":    {Tasks: []TaskList{NewTaskList(2), NewTaskList(9)}},
	} {
		p := &Progress{Current: []*Occurrence{o}}
		if err := p.Check(j); err == nil {
			t.Errorf("%s: valid", name)
		}
	}
	p := NewProgress(j)
	p.CreateDue(j, 0)
	if err := p.Check(j); err != nil {
		t.Error(err)
	}
}

// Guards against a lost run that is placed again although its task has gone on: with a later run, of any member of its
// gang, or as a part of a finished or cancelled job.
func TestResumeOnlyTheLatestRunOfAWaitingTask(t *testing.T) {
	first, second := TaskRef{}, TaskRef{Index: 1}
	for name, c := range map[string]struct {
		gang    bool
		prepare func(j *Job, p *Progress) error
		want    bool
	}{
		"waiting":      {prepare: func(*Job, *Progress) error { return nil }, want: true},
		"placed again": {prepare: func(_ *Job, p *Progress) error { return p.Place(first, 2, "w", 1) }},
		"later run ended": {prepare: func(j *Job, p *Progress) error {
			err := p.Place(first, 2, "w", 1)
			p.EndRun(j, first, 2, Interrupted, "", 9)
			return err
		}},
		"other task placed":        {prepare: func(_ *Job, p *Progress) error { return p.Place(second, 2, "w", 1) }, want: true},
		"other gang member placed": {gang: true, prepare: func(_ *Job, p *Progress) error { return p.Place(second, 2, "w", 1) }},
		"gang waiting":             {gang: true, prepare: func(*Job, *Progress) error { return nil }, want: true},
		"done": {prepare: func(j *Job, p *Progress) error {
			err := p.Place(first, 2, "w", 1)
			p.EndRun(j, first, 2, Succeeded, "", 9)
			return err
		}},
		"cancelled": {prepare: func(_ *Job, p *Progress) error { p.Cancel(); return nil }},
	} {
		j := &Job{ID: "0123456789abcdef", Queue: "q", Steps: []Step{{Count: 2, Gang: c.gang}}}
		p := NewProgress(j)
		p.CreateDue(j, 0)
		if err := p.Place(first, 1, "w", 1); err != nil {
			t.Fatal(err)
		}
		p.EndRun(j, first, 1, Interrupted, "", 9)
		if err := c.prepare(j, p); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := p.Resume(j, first, 1, "w", 2); got != c.want {
			t.Errorf("%s: resumed %v, want %v", name, got, c.want)
		}
		if task, _ := p.Task(first); c.want && (task.Phase != Placed || task.Incarnation != 2) {
			t.Errorf("%s: %+v", name, task)
		}
	}
}
