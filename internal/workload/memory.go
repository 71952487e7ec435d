package workload

// Bounds of the memory that jobs take, from the sizes of the types and of what an owner keeps beside them.
// owner.BenchmarkJobMemory measures them.
const (
	// stepMemory is a step, its part of the plan and its place among the ready steps of a placement round.
	stepMemory = 480
	// afterMemory is a predecessor of a step.
	afterMemory = 8
	// occurrenceMemory is an occurrence without its steps, listMemory the tasks of a step that have had no run.
	occurrenceMemory, listMemory = 160, 64
	// taskMemory is a task that has had a run, without its checkpoint.
	taskMemory = 64
)

// MemoryBytes bounds the memory of the job without its progress.
func (j *Job) MemoryBytes() int64 {
	n := len(j.ID) + len(j.Queue) + len(j.Organisation) + len(j.Spec) + len(j.Fingerprint) + len(j.Steps)*stepMemory
	for i := range j.Steps {
		s := &j.Steps[i]
		n += len(s.RequiredLabel) + len(s.DataRack) + len(s.Image) + len(s.After)*afterMemory
	}
	return int64(n)
}

// OccurrenceBytes bounds the memory of an occurrence of which no task has had a run.
func (j *Job) OccurrenceBytes() int64 { return int64(occurrenceMemory + len(j.Steps)*listMemory) }

// BegunBytes bounds the memory of the tasks of an occurrence once one of them has had a run.
func (j *Job) BegunBytes() int64 { return int64(j.taskCount() * taskMemory) }

// Begun reports whether a task of the occurrence has had a run. A job may have thousands of steps, and is asked for each of them.
func (o *Occurrence) Begun() bool {
	if !o.begunKnown {
		o.begunKnown = true
		for i := range o.Tasks {
			if o.Tasks[i].held != nil {
				o.begun = true
				break
			}
		}
	}
	return o.begun
}

// BegunOccurrences returns the number of current occurrences of which a task has had a run.
func (p *Progress) BegunOccurrences() int {
	n := 0
	for _, o := range p.Current {
		if o.Begun() {
			n++
		}
	}
	return n
}
