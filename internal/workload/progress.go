package workload

import (
	"fmt"
	"slices"

	"github.com/juju/errors"
)

// State is the state of a job.
type State uint8

// States of jobs.
const (
	Active State = iota
	Completed
	Failed
	Cancelled
)

func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Phase is the phase of a task.
type Phase uint8

// Phases of tasks.
const (
	Waiting Phase = iota // for its predecessors or for a worker
	Placed               // on a worker, where it may be running
	Finished
)

// Task is the progress of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the latest run, 0 before the first.
	Run int
	// Worker and Incarnation identify the worker process of the latest run.
	Worker      string
	Incarnation int64
	// Failures counts the runs that reported a failure.
	Failures   int
	Checkpoint string
}

// Eviction identifies a run that is to be stopped although its job goes on.
type Eviction struct {
	Step  int `cbor:"1,keyasint"`
	Index int `cbor:"2,keyasint"`
	Run   int `cbor:"3,keyasint"`
}

// Occurrence is the progress of one pass through the steps.
type Occurrence struct {
	Number int        `cbor:"1,keyasint"`
	Tasks  []TaskList `cbor:"2,keyasint"` // by step
	// Evictions lists the placed runs that the system has decided to stop. They are recorded before the stop is requested,
	// so that a successor does not count such a run as available while the stop may still take effect.
	Evictions []Eviction `cbor:"3,keyasint,omitempty"`
	// begun is the result of Begun once begunKnown is set.
	begun, begunKnown bool
}

// Progress is the recorded state of a job, apart from the job itself.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedMS is the Unix time in milliseconds at which the job ended.
	EndedMS int64 `cbor:"2,keyasint,omitempty"`
	// Begun reports whether a task has been placed, so that a run may have started.
	Begun bool `cbor:"3,keyasint,omitempty"`
	// Created counts the occurrences created so far.
	Created int `cbor:"4,keyasint,omitempty"`
	// Current lists the occurrences with unfinished tasks or, once the job has ended, with tasks still placed.
	Current []*Occurrence `cbor:"5,keyasint,omitempty"`
	// Organisation is kept for queries after the record of the job itself is deleted.
	Organisation string `cbor:"6,keyasint,omitempty"`
	Queue        string `cbor:"7,keyasint,omitempty"`
	// Fingerprint identifies the content of the job.
	Fingerprint string `cbor:"8,keyasint,omitempty"`
	// Answer is the final checkpoint of the last run, if the job keeps its answer.
	Answer string `cbor:"9,keyasint,omitempty"`
	// Interrupted reports whether the job failed because an at-most-once run may have been interrupted.
	Interrupted bool `cbor:"10,keyasint,omitempty"`
	// StartUnconfirmed reports that a task has been placed and that no worker has shown yet that it started one. Earlier
	// versions took every placed task for started and do not record it.
	StartUnconfirmed bool `cbor:"11,keyasint,omitempty"`
}

// Started reports whether a worker has shown that it started a task.
func (p *Progress) Started() bool { return p.Begun && !p.StartUnconfirmed }

// ConfirmStart records that a worker has shown that it started a task, and reports whether it is the first one.
func (p *Progress) ConfirmStart() bool {
	first := p.StartUnconfirmed
	p.StartUnconfirmed = false
	return first
}

// NewProgress returns the initial progress of an accepted job.
func NewProgress(j *Job) *Progress {
	return &Progress{Organisation: j.Organisation, Queue: j.Queue, Fingerprint: j.Fingerprint}
}

// NextDueMS returns the Unix time in milliseconds at which the next occurrence is due, and whether there is one.
func (p *Progress) NextDueMS(j *Job) (int64, bool) {
	if p.State != Active {
		return 0, false
	}
	if !j.IsScheduled() {
		return 0, p.Created == 0
	}
	return j.DueMS(p.Created), p.Created < j.Repeats
}

// Check returns a NotValid error if the progress does not have the shape of the job, as after a malformed record.
func (p *Progress) Check(j *Job) error {
	for _, o := range p.Current {
		if o == nil || len(o.Tasks) != len(j.Steps) {
			return errors.NotValidf("occurrence of job %s with %d steps", j.ID, len(j.Steps))
		}
		for step := range o.Tasks {
			if n := o.Tasks[step].Len(); n != j.Steps[step].Count {
				return errors.NotValidf("step %d of job %s with %d tasks (%d are specified)", step, j.ID, n,
					j.Steps[step].Count)
			}
		}
	}
	return nil
}

// hasRoom reports whether another occurrence may be created. The bound keeps the progress of a schedule that is far
// behind, or that repeats faster than it is served, in one record of the store.
func (p *Progress) hasRoom(j *Job) bool {
	return len(p.Current) == 0 || (len(p.Current)+1)*j.taskCount() <= MaxTasks
}

// CreateDue creates the occurrences that are due at nowMS, as far as there is room for them, and reports whether there
// were any.
func (p *Progress) CreateDue(j *Job, nowMS int64) bool { return p.CreateUpTo(j, nowMS, MaxTasks) }

// CreateUpTo is CreateDue for at most limit occurrences. The others are created later, as those of a schedule that is behind.
func (p *Progress) CreateUpTo(j *Job, nowMS int64, limit int) bool {
	created := false
	for {
		due, more := p.NextDueMS(j)
		if limit--; !more || due > nowMS || !p.hasRoom(j) || limit < 0 {
			return created
		}
		o := &Occurrence{Number: p.Created, Tasks: make([]TaskList, len(j.Steps))}
		for i := range j.Steps {
			o.Tasks[i] = NewTaskList(j.Steps[i].Count)
		}
		p.Created++
		p.Current = append(p.Current, o)
		created = true
	}
}

// Ready reports whether a step has unfinished tasks and all its predecessors are finished.
func (o *Occurrence) Ready(j *Job, step int) bool {
	if o.Tasks[step].unfinished == 0 {
		return false
	}
	for _, predecessor := range j.Steps[step].After {
		if o.Tasks[predecessor].unfinished > 0 {
			return false
		}
	}
	return true
}

// Unfinished returns the number of tasks of a step that have not succeeded.
func (o *Occurrence) Unfinished(step int) int { return o.Tasks[step].unfinished }

// Occurrence returns the current occurrence with the given number, or nil.
func (p *Progress) Occurrence(number int) *Occurrence {
	for _, o := range p.Current {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// EachPlaced calls visit for each placed task of the current occurrences.
func (p *Progress) EachPlaced(visit func(r TaskRef, t *Task)) {
	for _, o := range p.Current {
		for step := range o.Tasks {
			tasks := o.Tasks[step].held
			for index := range tasks {
				if t := &tasks[index]; t.Phase == Placed {
					visit(TaskRef{Occurrence: o.Number, Step: step, Index: index}, t)
				}
			}
		}
	}
}

// changeable returns the list with a task of a current occurrence, which begins with the change.
func (p *Progress) changeable(r TaskRef) *TaskList {
	o := p.Occurrence(r.Occurrence)
	o.begun, o.begunKnown = true, true
	return p.tasks(r)
}

// tasks returns the list with a task of a current occurrence, or nil.
func (p *Progress) tasks(r TaskRef) *TaskList {
	o := p.Occurrence(r.Occurrence)
	if o == nil || r.Step >= len(o.Tasks) || r.Index >= o.Tasks[r.Step].Len() {
		return nil
	}
	return &o.Tasks[r.Step]
}

// Task returns a task, and whether it belongs to a current occurrence.
func (p *Progress) Task(r TaskRef) (t Task, ok bool) {
	tasks := p.tasks(r)
	if tasks == nil {
		return Task{}, false
	}
	return tasks.At(r.Index), true
}

// NextRun returns the number of the next run of a task. The members of a gang share it.
func (p *Progress) NextRun(j *Job, r TaskRef) int {
	tasks := p.tasks(r)
	if !j.Steps[r.Step].Gang {
		return tasks.At(r.Index).Run + 1
	}
	run := 0
	for i := range tasks.held {
		run = max(run, tasks.held[i].Run)
	}
	return run + 1
}

// Place records that a run of a waiting task is placed on a worker. It returns a NotValid error, and changes nothing,
// if the job has ended, the task is unknown or not waiting, or the run number does not rise.
func (p *Progress) Place(r TaskRef, run int, worker string, incarnation int64) error {
	t, ok := p.Task(r)
	if p.State != Active || !ok || t.Phase != Waiting || run <= t.Run {
		return errors.NotValidf("placing run %d of task %v", run, r)
	}
	p.changeable(r).place(r.Index, run, worker, incarnation)
	if !p.Begun {
		p.Begun, p.StartUnconfirmed = true, true
	}
	return nil
}

// SaveCheckpoint keeps the checkpoint of a task, if there is one. The value from any member of a gang holds for all.
func (p *Progress) SaveCheckpoint(j *Job, r TaskRef, checkpoint string) {
	tasks := p.tasks(r)
	if tasks == nil || checkpoint == "" {
		return
	}
	tasks = p.changeable(r)
	if !j.Steps[r.Step].Gang {
		tasks.hold(r.Index).Checkpoint = checkpoint
		return
	}
	for i := range tasks.Len() {
		tasks.hold(i).Checkpoint = checkpoint
	}
}

// Checkpoint returns the checkpoint from which the next run of a task resumes, "" without one. It is the same for all
// members of a gang, also if an earlier build recorded different ones.
func (p *Progress) Checkpoint(j *Job, r TaskRef) string {
	tasks := p.tasks(r)
	if !j.Steps[r.Step].Gang {
		return tasks.At(r.Index).Checkpoint
	}
	for i := range tasks.held {
		if checkpoint := tasks.held[i].Checkpoint; checkpoint != "" {
			return checkpoint
		}
	}
	return ""
}

// Resume records that the latest run of a waiting task is on a worker after all, although it counted as lost. It reports
// false, and changes nothing, if the task does not wait or has a later run.
func (p *Progress) Resume(j *Job, r TaskRef, run int, worker string, incarnation int64) bool {
	t, ok := p.Task(r)
	if p.State != Active || !ok || t.Phase != Waiting || t.Run != run || p.NextRun(j, r) != run+1 {
		return false
	}
	p.changeable(r).place(r.Index, run, worker, incarnation)
	return true
}

// Evict records the decision to stop the run of a placed task and reports whether it was made now.
func (p *Progress) Evict(r TaskRef) bool {
	t, _ := p.Task(r)
	if t.Phase != Placed || p.IsEvicted(r) {
		return false
	}
	o := p.Occurrence(r.Occurrence)
	o.Evictions = append(o.Evictions, Eviction{Step: r.Step, Index: r.Index, Run: t.Run})
	return true
}

// Retain withdraws the decision to stop the run of a task.
func (p *Progress) Retain(r TaskRef) {
	if o := p.Occurrence(r.Occurrence); o != nil {
		o.clearEviction(r)
	}
}

// IsEvicted reports whether the current run of a task is to be stopped.
func (p *Progress) IsEvicted(r TaskRef) bool {
	t, ok := p.Task(r)
	return ok && slices.Contains(p.Occurrence(r.Occurrence).Evictions, Eviction{r.Step, r.Index, t.Run})
}

// clearEviction forgets the eviction of a task whose run has ended.
func (o *Occurrence) clearEviction(r TaskRef) {
	o.Evictions = slices.DeleteFunc(o.Evictions, func(e Eviction) bool { return e.Step == r.Step && e.Index == r.Index })
}

// RunResult is how a run ended.
type RunResult uint8

// Results of runs.
const (
	Succeeded    RunResult = iota
	Errored                // the run reported a failure
	Interrupted            // the run was stopped, its lease expired or its worker was lost
	NeverStarted           // the run certainly did not start
)

// Transition is the effect of a run's end on its task and its job.
type Transition uint8

// Transitions at the end of a run.
const (
	Ignored      Transition = iota // none: the run is not the one that is placed
	Requeued                       // the task waits for another run
	TaskFinished                   // the task is finished
	JobEnded                       // the job has ended as well
	Released                       // the job had already ended; the run no longer occupies its worker
)

// EndRun records the end of a run and returns its effect. The job fails with the maxFailures-th failure of a task.
func (p *Progress) EndRun(j *Job, r TaskRef, run int, result RunResult, checkpoint string, maxFailures int) Transition {
	if t, _ := p.Task(r); t.Phase != Placed || t.Run != run {
		return Ignored
	}
	p.SaveCheckpoint(j, r, checkpoint)
	tasks := p.tasks(r)
	tasks.setPhase(r.Index, Waiting)
	p.Occurrence(r.Occurrence).clearEviction(r)
	if p.State != Active {
		p.prune()
		return Released
	}
	step := &j.Steps[r.Step]
	switch {
	case step.LongRunning:
		return Requeued
	case result == Succeeded:
		if j.KeepsAnswer {
			p.Answer = checkpoint
		}
		p.finish(j, r)
		return p.completeIfDone(j)
	case step.AtMostOnce && result != NeverStarted:
		p.Interrupted = result == Interrupted
		return p.fail()
	case result == Errored:
		t := tasks.hold(r.Index)
		t.Failures++
		if t.Failures >= maxFailures {
			return p.fail()
		}
	}
	return Requeued
}

func (p *Progress) fail() Transition {
	p.State = Failed
	p.prune()
	return JobEnded
}

// Fail ends an active job as failed and reports whether it was active. Placed tasks stay placed until their runs end.
func (p *Progress) Fail() bool {
	if p.State != Active {
		return false
	}
	p.fail()
	return true
}

func (p *Progress) finish(j *Job, r TaskRef) {
	tasks := p.tasks(r)
	if !j.Steps[r.Step].Gang {
		tasks.setPhase(r.Index, Finished)
		return
	}
	// A gang ends as one: the end of a member finishes all of them.
	for i := range tasks.Len() {
		tasks.setPhase(i, Finished)
	}
}

func (p *Progress) completeIfDone(j *Job) Transition {
	kept := p.Current[:0]
	for _, o := range p.Current {
		if o.hasUnfinished() {
			kept = append(kept, o)
		}
	}
	p.Current = kept
	if _, more := p.NextDueMS(j); more || len(p.Current) > 0 {
		return TaskFinished
	}
	p.State = Completed
	return JobEnded
}

func (o *Occurrence) hasUnfinished() bool {
	for step := range o.Tasks {
		if o.Tasks[step].unfinished > 0 {
			return true
		}
	}
	return false
}

// Cancel ends an active job and reports whether it was active. Placed tasks stay placed until their runs end.
func (p *Progress) Cancel() bool {
	if p.State != Active {
		return false
	}
	p.State = Cancelled
	p.prune()
	return true
}

// prune drops the occurrences of an ended job that have no task placed.
func (p *Progress) prune() {
	kept := p.Current[:0]
	for _, o := range p.Current {
		if o.hasPlaced() {
			kept = append(kept, o)
		}
	}
	p.Current = kept
}

func (o *Occurrence) hasPlaced() bool {
	for step := range o.Tasks {
		for i := range o.Tasks[step].held {
			if o.Tasks[step].held[i].Phase == Placed {
				return true
			}
		}
	}
	return false
}
