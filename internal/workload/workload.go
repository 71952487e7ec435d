// Package workload implements the state machine of jobs: steps, tasks, runs and occurrences. It uses no clock, network
// or store.
package workload

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
)

// Step is a set of identical tasks.
type Step struct {
	Count     int               `cbor:"1,keyasint"`
	Resources catalog.Resources `cbor:"2,keyasint"`
	Estimate  time.Duration     `cbor:"3,keyasint,omitempty"`
	// After lists the steps, all earlier ones, that must finish first.
	After []int `cbor:"4,keyasint,omitempty"`
	// SavesProgress reports whether runs write checkpoints from which later runs resume.
	SavesProgress bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks start, end and fail together.
	Gang     bool `cbor:"6,keyasint,omitempty"`
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Speculative tasks may have several concurrent runs; the first to succeed counts.
	Speculative bool `cbor:"8,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled and restart whatever the result of a run.
	LongRunning bool `cbor:"9,keyasint,omitempty"`
	// BestEffort tasks reserve no CPU and use what others leave idle.
	BestEffort    bool   `cbor:"10,keyasint,omitempty"`
	RequiredLabel string `cbor:"11,keyasint,omitempty"` // label that a worker must carry
	DataRack      string `cbor:"12,keyasint,omitempty"` // rack that stores the step's data
	// MaxPerWorker bounds the step's tasks of one occurrence on one worker; 0 means unbounded.
	MaxPerWorker int `cbor:"13,keyasint,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the system itself may disrupt at a time; 0 means
	// unbounded.
	MaxUnavailable    int           `cbor:"14,keyasint,omitempty"`
	Image             string        `cbor:"15,keyasint,omitempty"`
	TailLatencyTarget time.Duration `cbor:"16,keyasint,omitempty"`
	// AtMostOnce tasks do not run again after a run that may have started and did not succeed; the job fails instead.
	AtMostOnce bool `cbor:"17,keyasint,omitempty"`
}

// ReservedResources returns the part of a worker's capacity that is reserved for a task.
func (s *Step) ReservedResources() catalog.Resources {
	if s.BestEffort {
		return catalog.Resources{MemoryMB: s.Resources.MemoryMB, GPU: s.Resources.GPU}
	}
	return s.Resources
}

// Job is a job as submitted.
type Job struct {
	ID           string `cbor:"1,keyasint"`
	Queue        string `cbor:"2,keyasint"`
	Organisation string `cbor:"3,keyasint,omitempty"`
	Spec         string `cbor:"4,keyasint"`
	Steps        []Step `cbor:"5,keyasint"`
	// Repeats is the number of occurrences of a scheduled job; 0 for a job that runs once, immediately.
	Repeats int `cbor:"6,keyasint,omitempty"`
	// FirstDueMS is the Unix time in milliseconds at which occurrence 0 is due; the others follow every PeriodMS.
	FirstDueMS int64 `cbor:"7,keyasint,omitempty"`
	PeriodMS   int64 `cbor:"8,keyasint,omitempty"`
	// ReceivedMS is the Unix time in milliseconds at which an entry received the job.
	ReceivedMS int64 `cbor:"9,keyasint"`
	// Fingerprint distinguishes jobs with the same ID and different content.
	Fingerprint string `cbor:"10,keyasint,omitempty"`
	// KeepsAnswer reports whether the final checkpoint of the last run is the answer to the client.
	KeepsAnswer bool `cbor:"11,keyasint,omitempty"`
	// Terms are the settings of the queue when the job was accepted. They apply once the queue is removed; nil in records of
	// earlier versions.
	Terms *QueueTerms `cbor:"12,keyasint,omitempty"`
}

// QueueTerms are the settings of a queue that its jobs need (see catalog.Queue).
type QueueTerms struct {
	Pool           string        `cbor:"1,keyasint"`
	Urgency        int           `cbor:"2,keyasint,omitempty"`
	MaxAttempts    int           `cbor:"3,keyasint,omitempty"`
	SlackFactor    float64       `cbor:"4,keyasint,omitempty"`
	TargetLatency  time.Duration `cbor:"5,keyasint,omitempty"`
	RequiresAdvice bool          `cbor:"6,keyasint,omitempty"`
	// Host and Prefix are the queue's address; empty in records of earlier versions.
	Host   string `cbor:"7,keyasint,omitempty"`
	Prefix string `cbor:"8,keyasint,omitempty"`
}

// TermsOf returns the settings of a queue that its jobs need.
func TermsOf(q *catalog.Queue) *QueueTerms {
	return &QueueTerms{
		Pool: q.Pool, Urgency: q.Urgency, MaxAttempts: q.MaxAttempts, SlackFactor: q.SlackFactor,
		TargetLatency: q.TargetLatency, RequiresAdvice: q.RequiresAdvice, Host: q.Host, Prefix: q.Prefix,
	}
}

// Queue returns a queue of the given name with these settings, which accepts no jobs.
func (t *QueueTerms) Queue(name string) *catalog.Queue {
	return &catalog.Queue{
		Name: name, Pool: t.Pool, Urgency: t.Urgency, MaxAttempts: t.MaxAttempts, SlackFactor: t.SlackFactor,
		TargetLatency: t.TargetLatency, RequiresAdvice: t.RequiresAdvice,
	}
}

// IsLongRunning reports whether the job has a long-running step.
func (j *Job) IsLongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// IsScheduled reports whether the job runs on a schedule.
func (j *Job) IsScheduled() bool { return j.Repeats > 0 }

// DueMS returns the Unix time in milliseconds at which an occurrence of a scheduled job is due.
func (j *Job) DueMS(occurrence int) int64 { return j.FirstDueMS + int64(occurrence)*j.PeriodMS }

// taskCount returns the number of tasks of one occurrence.
func (j *Job) taskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Limits that Validate enforces.
const (
	// MaxTasks bounds the tasks of one occurrence, so that its progress fits into one record of the store.
	MaxTasks = 4000
	// maxDueMS bounds the due times of a schedule, in Unix milliseconds, so that their sums do not overflow.
	maxDueMS = 1 << 61
	// MaxSpecBytes bounds the specification of a job, as published for clients.
	MaxSpecBytes = 4000
	// MaxIDBytes bounds the ID of a job. A key of the store has at most 255 bytes: a prefix of two and the ID.
	MaxIDBytes = 253
)

// Validate returns a NotValid error that names the first invalid property of the job, or nil.
func (j *Job) Validate() error {
	if len(j.ID) > MaxIDBytes {
		return errors.NotValidf("job ID of %d bytes (at most %d)", len(j.ID), MaxIDBytes)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.NotValidf("spec of %d bytes (at most %d)", len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 {
		return errors.NotValidf("job without steps")
	}
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count < 1 || s.Count > MaxTasks {
			return errors.NotValidf("step %d with %d tasks", i, s.Count)
		}
		if s.Resources.CPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPU < 0 {
			return errors.NotValidf("step %d with a negative amount", i)
		}
		for _, predecessor := range s.After {
			if predecessor < 0 || predecessor >= i {
				return errors.NotValidf("step %d after step %d", i, predecessor)
			}
		}
	}
	if tasks := j.taskCount(); tasks > MaxTasks {
		return errors.NotValidf("job of %d tasks (at most %d)", tasks, MaxTasks)
	}
	if j.Repeats < 0 || j.Repeats > 1 && j.PeriodMS < 1 || j.PeriodMS < 0 {
		return errors.NotValidf("schedule with %d occurrences every %d ms", j.Repeats, j.PeriodMS)
	}
	if j.FirstDueMS > maxDueMS || j.FirstDueMS < -maxDueMS || j.PeriodMS > 0 && int64(j.Repeats) > maxDueMS/j.PeriodMS {
		return errors.NotValidf("schedule from %d ms on with %d occurrences every %d ms", j.FirstDueMS, j.Repeats, j.PeriodMS)
	}
	return nil
}

// TaskRef identifies a task within its job.
type TaskRef struct{ Occurrence, Step, Index int }

// TaskName returns the name of a task in the workers' protocol: ID.OCCURRENCE.STEP.INDEX.
func TaskName(job string, r TaskRef) string {
	return job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// ParseTaskName is the inverse of TaskName.
func ParseTaskName(name string) (job string, r TaskRef, err error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskRef{}, errors.NotValidf("task name %q", name)
	}
	for i, field := range []*int{&r.Occurrence, &r.Step, &r.Index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil || *field < 0 {
			return "", TaskRef{}, errors.NotValidf("task name %q", name)
		}
	}
	return parts[0], r, nil
}
