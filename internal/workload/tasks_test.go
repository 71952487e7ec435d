package workload

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// Guards against records that owners of earlier versions cannot read, and against counts that differ from the tasks: a list
// is recorded as all of its tasks, and is the same once it was read.
func TestTaskListIsRecordedInFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 2, 23, 24, 255, 256, 4_000}).Draw(t, "count")
		list, all := NewTaskList(count), make([]Task, count)
		for range rapid.IntRange(0, 40).Draw(t, "changes") {
			i := rapid.IntRange(0, min(count-1, 300)).Draw(t, "index")
			if rapid.Bool().Draw(t, "place") {
				list.place(i, all[i].Run+1, "w", 1)
				all[i].Phase, all[i].Run, all[i].Worker, all[i].Incarnation = Placed, all[i].Run+1, "w", 1
				continue
			}
			all[i].Phase = rapid.SampledFrom([]Phase{Waiting, Finished}).Draw(t, "phase")
			list.setPhase(i, all[i].Phase)
		}
		got, err := cbor.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		want, err := cbor.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Fatalf("recorded as % .40x, want % .40x", got, want)
		}
		var read TaskList
		if err := cbor.Unmarshal(got, &read); err != nil {
			t.Fatal(err)
		}
		checkList(t, &list, all)
		checkList(t, &read, all)
	})
}

// checkList compares a list with all of its tasks.
func checkList(t *rapid.T, l *TaskList, all []Task) {
	waiting, unfinished, next := 0, 0, len(all)
	for i, task := range all {
		if l.At(i) != task {
			t.Fatalf("task %d is %+v, want %+v", i, l.At(i), task)
		}
		if task.Phase == Waiting {
			waiting++
			next = min(next, i)
		}
		if task.Phase != Finished {
			unfinished++
		}
	}
	if l.Len() != len(all) || l.Waiting() != waiting || l.unfinished != unfinished || l.NextWaiting(0) != next {
		t.Fatalf("%d tasks, %d waiting, %d unfinished, next %d; want %d, %d, %d, %d",
			l.Len(), l.Waiting(), l.unfinished, l.NextWaiting(0), len(all), waiting, unfinished, next)
	}
}
