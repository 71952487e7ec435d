// Package workload is the state machine of jobs: steps, tasks, runs and occurrences. It knows no clock, network or store.
package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Step is a set of equal tasks.
type Step struct {
	Count     int               `cbor:"1,keyasint"`
	Resources catalog.Resources `cbor:"2,keyasint"`
	Estimate  time.Duration     `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// SavesProgress tells that a run writes checkpoints that a later run resumes from.
	SavesProgress bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only together: they start, end and fail as one.
	Gang     bool `cbor:"6,keyasint,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Speculative tasks may run more than once at a time; the first to end done counts.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and are started again however they end.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffort tells that the task takes capacity that others leave unused.
	BestEffort    bool   `cbor:"10,keyasint,omitempty"`
	RequiredLabel string `cbor:"11,keyasint,omitempty"` // that a worker must carry
	DataRack      string `cbor:"12,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of an occurrence of the step on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be away by the system's own doing; 0 is no bound.
	MaxUnavailable    int           `cbor:"14,keyasint,omitempty"`
	Image             string        `cbor:"15,keyasint,omitempty"`
	TailLatencyTarget time.Duration `cbor:"16,keyasint,omitempty"`
	// AtMostOnce tells that a task must not run again after a run that may have begun: its job fails instead.
	AtMostOnce bool `cbor:"17,keyasint,omitempty"`
}

// ReservedResources returns what a task takes of a worker's capacity.
func (s *Step) ReservedResources() catalog.Resources {
	if s.BestEffort {
		return catalog.Resources{MemoryMB: s.Resources.MemoryMB, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Job is a job as it was handed in.
type Job struct {
	ID           string `cbor:"1,keyasint"`
	Queue        string `cbor:"2,keyasint"`
	Organisation string `cbor:"3,keyasint,omitempty"`
	Spec         string `cbor:"4,keyasint"`
	Steps        []Step `cbor:"5,keyasint"`
	// Repeats is the number of occurrences of a scheduled job; 0 for one that runs once, at once.
	Repeats int `cbor:"6,keyasint,omitempty"`
	// FirstDueMS is the Unix time in milliseconds of occurrence 0; the others follow every PeriodMS.
	FirstDueMS int64 `cbor:"7,keyasint,omitempty"`
	PeriodMS   int64 `cbor:"8,keyasint,omitempty"`
	// ReceivedMS is the Unix time in milliseconds at which an entry received the job.
	ReceivedMS int64 `cbor:"9,keyasint"`
	// Fingerprint tells jobs with the same ID and another content apart.
	Fingerprint string `cbor:"10,keyasint,omitempty"`
	// KeepsAnswer tells that the state which the last run saved at its end is the answer to the client.
	KeepsAnswer bool `cbor:"11,keyasint,omitempty"`
}

// IsLongRunning reports whether a step of the job runs until it is cancelled.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// IsScheduled reports whether the job runs at set times.
func (j *Job) IsScheduled() bool { return j.Repeats > 0 }

// Limits of a job, beyond which it is refused.
const (
	// MaxTasks bounds the tasks of one occurrence, so that its progress fits one record of the store.
	MaxTasks = 4000
	// MaxSpecBytes bounds the specification of a job in bytes, as published for clients.
	MaxSpecBytes = 4000
)

// Validate returns why the job cannot be accepted, or nil.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return errors.NotValidf("spec of %d bytes (at most %d)", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 {
		return errors.NotValidf("job without steps")
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return errors.NotValidf("step %d with %d tasks", i, s.Count)
		}
		tasks += s.Count
		if s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
			return errors.NotValidf("step %d with a negative amount", i)
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return errors.NotValidf("step %d after step %d", i, before)
			}
		}
	}
	if tasks > MaxTasks {
		return errors.NotValidf("job of %d tasks (at most %d)", tasks, MaxTasks)
	}
	if j.Repeats < 0 || j.Repeats > 1 && j.PeriodMS < 1 {
		return errors.NotValidf("schedule with %d occurrences every %d ms", j.Repeats, j.PeriodMS)
	}
	return nil
}

// TaskRef names a task within its job.
type TaskRef struct{ Occurrence, Step, Index int }

// TaskName returns the name of a task towards workers: ID.OCCURRENCE.STEP.INDEX.
func TaskName(job string, r TaskRef) string {
	return job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// ParseTaskName is the reverse of TaskName.
func ParseTaskName(name string) (job string, r TaskRef, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskRef{}, errors.NotValidf("task name %q", name)
	}
	for i, into := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		if *into, err = strconv.Atoi(parts[i+1]); err != nil || *into < 0 {
			return "", TaskRef{}, errors.NotValidf("task name %q", name)
		}
	}
	return parts[0], r, nil
}

// State of a job.
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

// Phase of a task.
type Phase uint8

// Phases of tasks.
const (
	Waiting Phase = iota // for its predecessors or for a worker
	Placed               // on a worker, where it may run
	Finished
)

// Task is the progress of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	Phase Phase
	// Run is the number of the latest run, 0 before the first.
	Run int
	// Worker and Incarnation tell where the latest run was placed.
	Worker      string
	Incarnation int64
	// Failures counts the runs that ended failed.
	Failures   int
	Checkpoint string
}

// Occurrence is the progress of one pass through the steps.
type Occurrence struct {
	Number int      `cbor:"1,keyasint"`
	Tasks  [][]Task `cbor:"2,keyasint"`

	open []int // tasks of each step that are not finished
}

// Progress is what is recorded of a job besides the job itself.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// EndedMS is the Unix time in milliseconds at which the job ended.
	EndedMS int64 `cbor:"2,keyasint,omitempty"`
	// Begun tells that a task has been placed.
	Begun bool `cbor:"3,keyasint,omitempty"`
	// Created counts the occurrences that have come due.
	Created int `cbor:"4,keyasint,omitempty"`
	// Current lists the occurrences with tasks that are not finished; those of an ended job with tasks still placed.
	Current []*Occurrence `cbor:"5,keyasint,omitempty"`
	// Organisation is kept for the time after the job itself is forgotten.
	Organisation string `cbor:"6,keyasint,omitempty"`
	Queue        string `cbor:"7,keyasint,omitempty"`
	// Fingerprint is that of the job.
	Fingerprint string `cbor:"8,keyasint,omitempty"`
	// Answer is what the last run left, if the job keeps it.
	Answer string `cbor:"9,keyasint,omitempty"`
	// Interrupted tells that the job failed because a run that must not be repeated may have been cut off.
	Interrupted bool `cbor:"10,keyasint,omitempty"`
}

// NewProgress returns the progress of a job that was just accepted.
func NewProgress(j *Job) *Progress {
	return &Progress{Organisation: j.Organisation, Queue: j.Queue, Fingerprint: j.Fingerprint}
}

// RebuildIndex rebuilds what is derived, after decoding.
func (p *Progress) RebuildIndex() {
	for _, o := range p.Current {
		o.index()
	}
}

func (o *Occurrence) index() {
	o.open = make([]int, len(o.Tasks))
	for i, tasks := range o.Tasks {
		for k := range tasks {
			if tasks[k].Phase != Finished {
				o.open[i]++
			}
		}
	}
}

// NextDueMS returns when the next occurrence comes due, in Unix milliseconds, and whether there is one.
func (p *Progress) NextDueMS(j *Job) (int64, bool) {
	if p.State != Active {
		return 0, false
	}
	if !j.IsScheduled() {
		return 0, p.Created == 0
	}
	return j.FirstDueMS + int64(p.Created)*j.PeriodMS, p.Created < j.Repeats
}

// CreateDue creates the occurrences that are due and reports whether there were any.
func (p *Progress) CreateDue(j *Job, nowMS int64) bool {
	created := false
	for {
		due, more := p.NextDueMS(j)
		if !more || due > nowMS {
			return created
		}
		o := &Occurrence{Number: p.Created, Tasks: make([][]Task, len(j.Steps))}
		for i := range j.Steps {
			o.Tasks[i] = make([]Task, j.Steps[i].Count)
		}
		o.index()
		p.Created++
		p.Current = append(p.Current, o)
		created = true
	}
}

// Ready reports whether the predecessors of a step are done and tasks of it are not.
func (o *Occurrence) Ready(j *Job, step int) bool {
	if o.open[step] == 0 {
		return false
	}
	for _, before := range j.Steps[step].After {
		if o.open[before] > 0 {
			return false
		}
	}
	return true
}

// Occurrence returns the current occurrence with a number, or nil.
func (p *Progress) Occurrence(number int) *Occurrence {
	for _, o := range p.Current {
		if o.Number == number {
			return o
		}
	}
	return nil
}

// Task returns a task of a current occurrence, or nil.
func (p *Progress) Task(r TaskRef) *Task {
	o := p.Occurrence(r.Occurrence)
	if o == nil || r.Step >= len(o.Tasks) || r.Index >= len(o.Tasks[r.Step]) {
		return nil
	}
	return &o.Tasks[r.Step][r.Index]
}

// NextRun returns the number for the next run of a task; the members of a gang share it.
func (p *Progress) NextRun(j *Job, r TaskRef) int {
	if !j.Steps[r.Step].Gang {
		return p.Task(r).Run + 1
	}
	run := 0
	for _, t := range p.Occurrence(r.Occurrence).Tasks[r.Step] {
		run = max(run, t.Run)
	}
	return run + 1
}

// Place records that a waiting task goes to a worker as the given run.
func (p *Progress) Place(r TaskRef, run int, worker string, incarnation int64) error {
	t := p.Task(r)
	if p.State != Active || t == nil || t.Phase != Waiting || run <= t.Run {
		return errors.NotValidf("placing run %d of task %v", run, r)
	}
	t.Phase, t.Run, t.Worker, t.Incarnation = Placed, run, worker, incarnation
	p.Begun = true
	return nil
}

// RunResult tells how a run came to its end.
type RunResult uint8

// The endings of runs.
const (
	Succeeded    RunResult = iota
	Errored                // the run reported a failure
	Interrupted            // it was stopped, its lease expired or its worker was lost
	NeverStarted           // it is certain that it did not run
)

// Transition tells what the end of a run led to.
type Transition uint8

// Outcomes of ends.
const (
	Ignored      Transition = iota // the run is not the one that is placed
	Requeued                       // the task waits for another run
	TaskFinished                   // the task is done
	JobEnded                       // the job has ended with it
	Released                       // the job had ended before; the run no longer holds its worker
)

// EndRun records the end of a run. maxFailures is how many runs of a task may fail before its job fails.
func (p *Progress) EndRun(j *Job, r TaskRef, run int, ending RunResult, checkpoint string, maxFailures int) Transition {
	t := p.Task(r)
	if t == nil || t.Phase != Placed || t.Run != run {
		return Ignored
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	t.Phase = Waiting
	if p.State != Active {
		p.prune()
		return Released
	}
	step := &j.Steps[r.Step]
	switch {
	case step.LongRunning:
		return Requeued
	case ending == Succeeded:
		if j.KeepsAnswer {
			p.Answer = checkpoint
		}
		p.finish(j, r)
		return p.completeIfDone(j)
	case step.AtMostOnce && ending != NeverStarted:
		p.Interrupted = ending == Interrupted
		return p.fail()
	case ending == Errored:
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

func (p *Progress) finish(j *Job, r TaskRef) {
	o := p.Occurrence(r.Occurrence)
	if !j.Steps[r.Step].Gang {
		o.Tasks[r.Step][r.Index].Phase = Finished
		o.open[r.Step]--
		return
	}
	// One end of a gang stands for all its members.
	for i := range o.Tasks[r.Step] {
		o.Tasks[r.Step][i].Phase = Finished
	}
	o.open[r.Step] = 0
}

func (p *Progress) completeIfDone(j *Job) Transition {
	kept := p.Current[:0]
	for _, o := range p.Current {
		if o.unfinished() {
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

func (o *Occurrence) unfinished() bool {
	for _, n := range o.open {
		if n > 0 {
			return true
		}
	}
	return false
}

// Cancel ends an active job. Tasks that are placed stay so until their ends are known.
func (p *Progress) Cancel() bool {
	if p.State != Active {
		return false
	}
	p.State = Cancelled
	p.prune()
	return true
}

// prune drops the occurrences of an ended job that no longer hold a worker.
func (p *Progress) prune() {
	kept := p.Current[:0]
	for _, o := range p.Current {
		if o.placed() {
			kept = append(kept, o)
		}
	}
	p.Current = kept
}

func (o *Occurrence) placed() bool {
	for _, tasks := range o.Tasks {
		for i := range tasks {
			if tasks[i].Phase == Placed {
				return true
			}
		}
	}
	return false
}
