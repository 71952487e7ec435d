package workload

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// TaskList holds the tasks of a step in one occurrence. Those after the last one that has had a run wait for their first run
// and take no memory: a job may have thousands, and most jobs of a crowd wait.
type TaskList struct {
	count int
	held  []Task
	// waiting and unfinished count the tasks that wait, and those that have not succeeded.
	waiting, unfinished int
}

// NewTaskList returns a list of count tasks that have had no run.
func NewTaskList(count int) TaskList {
	return TaskList{count: count, waiting: count, unfinished: count}
}

// ListOf returns a list of the given tasks.
func ListOf(tasks ...Task) TaskList {
	l := TaskList{count: len(tasks)}
	last := 0
	for i := range tasks {
		if tasks[i] != (Task{}) {
			last = i + 1
		}
		if tasks[i].Phase == Waiting {
			l.waiting++
		}
		if tasks[i].Phase != Finished {
			l.unfinished++
		}
	}
	if last > 0 {
		l.held = append(make([]Task, 0, last), tasks[:last]...)
	}
	return l
}

// Len returns the number of tasks.
func (l *TaskList) Len() int { return l.count }

// Waiting returns the number of tasks that wait.
func (l *TaskList) Waiting() int { return l.waiting }

// At returns the task with an index below Len.
func (l *TaskList) At(index int) Task {
	if index < len(l.held) {
		return l.held[index]
	}
	return Task{}
}

// NextWaiting returns the index of the first task from an index on that waits, or Len.
func (l *TaskList) NextWaiting(index int) int {
	for index < len(l.held) && l.held[index].Phase != Waiting {
		index++
	}
	return index
}

// hold returns a task to change, whose memory it allocates if needed. Its phase is changed by setPhase only.
func (l *TaskList) hold(index int) *Task {
	if index >= cap(l.held) {
		l.held = append(make([]Task, 0, min(l.count, max(2*cap(l.held), index+1))), l.held...)
	}
	if index >= len(l.held) {
		l.held = l.held[:index+1]
	}
	return &l.held[index]
}

// setPhase changes the phase of a task.
func (l *TaskList) setPhase(index int, phase Phase) {
	t := l.hold(index)
	if t.Phase == Waiting {
		l.waiting--
	}
	if t.Phase != Finished {
		l.unfinished--
	}
	t.Phase = phase
	if phase == Waiting {
		l.waiting++
	}
	if phase != Finished {
		l.unfinished++
	}
}

// place puts a run of a task on a worker.
func (l *TaskList) place(index, run int, worker string, incarnation int64) {
	t := l.hold(index)
	t.Run, t.Worker, t.Incarnation = run, worker, incarnation
	l.setPhase(index, Placed)
}

// clone returns a copy that shares no task.
func (l *TaskList) clone() TaskList {
	copied := *l
	copied.held = append([]Task(nil), l.held...)
	return copied
}

// newTask is the encoding of a task that has had no run.
var newTask = func() []byte {
	data, err := cbor.Marshal(Task{})
	if err != nil {
		panic(err)
	}
	return data
}()

// arrayType and textType are major types of CBOR.
const (
	arrayType = 4 << 5
	// maxShortLength is the longest length that the first byte of an item holds.
	maxShortLength = 23
	length8Bits    = 24
	length16Bits   = 25
	length32Bits   = 26
)

// appendArrayHeader appends the beginning of an array of n items.
func appendArrayHeader(data []byte, n int) []byte {
	switch {
	case n <= maxShortLength:
		return append(data, arrayType|byte(n))
	case n < 1<<8:
		return append(data, arrayType|length8Bits, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(data, arrayType|length16Bits), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(data, arrayType|length32Bits), uint32(n))
}

// MarshalCBOR implements cbor.Marshaler. A record has all tasks, as in earlier versions.
func (l TaskList) MarshalCBOR() ([]byte, error) {
	held, err := cbor.Marshal(l.held)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if l.held == nil {
		held = appendArrayHeader(nil, 0)
	}
	held = held[len(appendArrayHeader(nil, len(l.held))):]
	missing := l.count - len(l.held)
	data := appendArrayHeader(make([]byte, 0, 5+len(held)+missing*len(newTask)), l.count)
	data = append(data, held...)
	for range missing {
		data = append(data, newTask...)
	}
	return data, nil
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (l *TaskList) UnmarshalCBOR(data []byte) error {
	var tasks []Task
	if err := cbor.Unmarshal(data, &tasks); err != nil {
		return errors.Trace(err)
	}
	*l = ListOf(tasks...)
	return nil
}
