package workload

import (
	"cmp"
	"slices"
)

// Bounds of the encoded size of a job's progress. A record of the store is limited, and which workers a job's tasks will be
// placed on is not known on submission.
const (
	// maxWorkerIDBytes is the length of the longest worker ID that a directory entry may have.
	maxWorkerIDBytes = 253
	// taskBytes bounds a task without its worker and checkpoint: a header, the phase, the run, an empty worker and its
	// incarnation, the failures and an empty checkpoint.
	taskBytes = 1 + 1 + 5 + 1 + 1 + 3 + 1
	// placementBytes bounds what a placement adds, beside the worker's ID: the length of the ID, the incarnation and an
	// eviction.
	placementBytes = 2 + 8 + 16
	stepBytes      = 3
	// occurrenceBytes bounds an occurrence without its steps, progressBytes the progress without its texts and occurrences.
	occurrenceBytes, progressBytes = 32, 96
)

// PlacementBytes bounds what the placement of a task on a worker adds to the record of its job's progress.
func PlacementBytes(worker string) int { return placementBytes + len(worker) }

// MinRecordBytes bounds the record of the job's progress with the tasks placed that have to run at the same time: one, a
// gang, or all that are long-running. The workers' IDs may be of any length.
func (j *Job) MinRecordBytes() int {
	together, gang := 0, 1
	for i := range j.Steps {
		switch s := &j.Steps[i]; {
		case s.LongRunning:
			together += s.Count
		case s.Gang:
			gang = max(gang, s.Count)
		}
	}
	return progressBytes + len(j.Organisation) + len(j.Queue) + len(j.Fingerprint) + occurrenceBytes + len(j.Steps)*stepBytes +
		j.taskCount()*taskBytes + (together+gang)*(placementBytes+maxWorkerIDBytes)
}

// MaxRecordBytes bounds the record of the progress, without checkpoints, however its tasks are placed.
func (p *Progress) MaxRecordBytes() int {
	tasks, size := p.size()
	return size + tasks*(placementBytes+maxWorkerIDBytes)
}

// RecordBytes bounds the record of the progress as it is, without checkpoints and without the workers of tasks that are not
// placed.
func (p *Progress) RecordBytes() int {
	_, size := p.size()
	p.EachPlaced(func(_ TaskRef, t *Task) { size += PlacementBytes(t.Worker) })
	return size
}

// size returns the number of tasks and the bound of the record without their placements.
func (p *Progress) size() (tasks, bytes int) {
	bytes = progressBytes + len(p.Organisation) + len(p.Queue) + len(p.Fingerprint) + len(p.Answer)
	for _, o := range p.Current {
		bytes += occurrenceBytes + len(o.Tasks)*stepBytes
		for step := range o.Tasks {
			tasks += o.Tasks[step].Len()
		}
	}
	return tasks, bytes + tasks*taskBytes
}

// WithoutIdleWorkers returns a copy that lacks the workers of tasks that are not placed.
func (p *Progress) WithoutIdleWorkers() *Progress {
	reduced := *p
	reduced.Current = make([]*Occurrence, len(p.Current))
	for i, o := range p.Current {
		copied := *o
		copied.Tasks = make([]TaskList, len(o.Tasks))
		for step := range o.Tasks {
			copied.Tasks[step] = o.Tasks[step].clone()
			tasks := copied.Tasks[step].held
			for k := range tasks {
				if t := &tasks[k]; t.Phase != Placed {
					t.Worker, t.Incarnation = "", 0
				}
			}
		}
		reduced.Current[i] = &copied
	}
	return &reduced
}

// WithoutCheckpoints returns a copy that lacks the checkpoints of whole steps, those with the most bytes first, until at
// least the given number of bytes is saved or none is left. Members of a gang keep the same checkpoint that way.
func (p *Progress) WithoutCheckpoints(bytes int) *Progress {
	type stepSize struct{ occurrence, step, bytes int }
	var sizes []stepSize
	for i, o := range p.Current {
		for step, tasks := range o.Tasks {
			n := 0
			for k := range tasks.held {
				n += len(tasks.held[k].Checkpoint)
			}
			sizes = append(sizes, stepSize{i, step, n})
		}
	}
	slices.SortFunc(sizes, func(a, b stepSize) int { return cmp.Compare(b.bytes, a.bytes) })
	reduced := *p
	reduced.Current = make([]*Occurrence, len(p.Current))
	for i, o := range p.Current {
		copied := *o
		copied.Tasks = slices.Clone(o.Tasks)
		reduced.Current[i] = &copied
	}
	for _, s := range sizes {
		if bytes <= 0 || s.bytes == 0 {
			break
		}
		tasks := reduced.Current[s.occurrence].Tasks[s.step].clone()
		for k := range tasks.held {
			tasks.held[k].Checkpoint = ""
		}
		reduced.Current[s.occurrence].Tasks[s.step] = tasks
		bytes -= s.bytes
	}
	return &reduced
}
