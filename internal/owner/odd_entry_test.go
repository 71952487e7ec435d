package owner

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// oddKeyPrefix is the prefix of the keys whose records an oddStore cannot read.
const oddKeyPrefix = "unreadable"

// oddStore returns some records as unreadable, as the client of the platform does.
type oddStore struct{ topic.Store }

func (s oddStore) Read(ctx context.Context, name topic.Name, from int64, wait time.Duration) (topic.ReadResult, error) {
	result, err := s.Store.Read(ctx, name, from, wait)
	markOdd(result.Records)
	return result, err
}

func (s oddStore) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	page, next, end, err := s.Store.SnapshotPage(ctx, name, after)
	markOdd(page)
	return page, next, end, err
}

func markOdd(records []topic.Record) {
	for i, r := range records {
		if strings.HasPrefix(r.Key, oddKeyPrefix) && r.Value != nil {
			records[i].Value, records[i].Err = []byte{}, errors.NotValidf("record of a test")
		}
	}
}

// logBuffer collects the log of an owner.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer // protected by mu
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count returns how many lines contain each of the words.
func (b *logBuffer) count(words ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		matches := true
		for _, word := range words {
			matches = matches && strings.Contains(line, word)
		}
		if matches {
			n++
		}
	}
	return n
}

// startsOn returns the number of runs started on a worker.
func (h *harness) startsOn(worker string) int {
	n := 0
	for _, s := range h.fleet.Starts() {
		if s.Worker == worker {
			n++
		}
	}
	return n
}

// oddEntries are values that the codec of the tests cannot decode.
var oddEntries = map[string][]byte{
	"deep": []byte(strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)), "number": []byte(`{"Capacity":{"CPU":1e400}}`),
	"type": []byte(`{"Address":7}`), "bytes": {0xff, 0}, "empty": {}, oddKeyPrefix: []byte(`{}`),
}

// Guards against an owner that ends, or that stops following the workers, because of an odd entry, and against a log
// line for each read of it.
func TestOddEntriesLeaveTheOthers(t *testing.T) {
	h := newHarness(t)
	h.ownerStore = oddStore{h.store}
	logs := &logBuffer{}
	h.logs = logs
	put := func(round int) {
		for key, value := range oddEntries {
			h.store.Put("workers", fmt.Sprint(key, "-", round), value)
		}
	}
	put(1) // in the snapshot
	h.addWorker("w1", 10*time.Millisecond)
	o := h.startOwner(true)
	h.submit(o, newJob("a", 2))
	h.awaitState(o, "a", workload.Completed)
	put(2) // in the records that follow
	h.addWorker("w2", 10*time.Millisecond)
	h.store.Put("workers", "w1", nil)
	h.await("the later worker is used alone", func() bool {
		known := make(chan bool, 1)
		o.post(func() {
			known <- !o.workers["w1"].registered && o.workers["w2"] != nil && o.workers["w2"].sessionEstablished
		})
		return <-known
	})
	h.submit(o, newJob("b", 2))
	h.awaitState(o, "b", workload.Completed)
	if n := h.startsOn("w2"); n != 2 {
		t.Errorf("%d runs on the later worker, want 2", n)
	}
	// Snapshots are read again after a gap.
	again, _, _, err := oddStore{h.store}.SnapshotPage(t.Context(), "workers", "")
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		applied := make(chan int, 1)
		o.post(func() { o.applyWorkerSnapshot(again); applied <- len(o.workers) })
		if n := <-applied; n > 2 {
			t.Errorf("%d workers, want at most 2", n)
		}
	}
	for round := range 2 {
		for key := range oddEntries {
			name := fmt.Sprint(key, "-", round+1)
			if n := logs.count("record skipped", "key="+name); n != 1 {
				t.Errorf("entry %s was logged %d times, want once", name, n)
			}
		}
	}
	select {
	case err := <-o.done:
		t.Errorf("the owner ended: %v", err)
	default:
	}
}

// A worker whose entry turned odd must get no new work. Its runs go on, once, and it is used again after a good entry.
func TestWorkerWhoseEntryTurnsOdd(t *testing.T) {
	for name, value := range oddEntries {
		if name == oddKeyPrefix {
			continue // a property of the key
		}
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			odd := h.addWorker("w1", 0)
			o := h.startOwner(true)
			h.submit(o, newJob("a", 1))
			h.await("the task runs", func() bool { return len(odd.Running()) == 1 })
			h.addWorker("w2", 10*time.Millisecond)
			h.store.Put("workers", "w1", value)
			h.await("the owner knows", func() bool {
				known := make(chan bool, 1)
				o.post(func() {
					w2 := o.workers["w2"]
					known <- o.loggedOffsets["workers/w1"] > 0 && w2 != nil && w2.sessionEstablished
				})
				return <-known
			})
			h.submit(o, newJob("b", 3)) // the worker with the least free CPU comes first
			h.await("the tasks run", func() bool { return len(h.fleet.Starts()) == 4 })
			if n := h.startsOn("w1"); n != 1 {
				t.Fatalf("%d starts on the worker, want only that of the run before", n)
			}
			h.awaitState(o, "b", workload.Completed)
			odd.EndRun("a.0.0.0", workers.Done)
			h.awaitState(o, "a", workload.Completed)
			if n := len(h.startsOf("a.0.0.0")); n != 1 {
				t.Errorf("its task was started %d times", n)
			}
			h.publish(h.workerInfos["w1"])
			h.store.Put("workers", "w2", nil)
			h.await("the worker is used again", func() bool {
				id := fmt.Sprint("c", len(h.fleet.Starts()))
				h.submit(o, newJob(id, 1))
				h.await("the task runs", func() bool { return len(h.startsOf(id+".0.0.0")) == 1 })
				return h.startsOn("w1") == 2
			})
		})
	}
}

// The runs of a worker whose entry turned odd must not start elsewhere before its lease has expired, also with a
// successor, which has no address of the worker.
func TestRunsOfAnOddEntryKeepTheirLease(t *testing.T) {
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprint("successor ", successor), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			odd := h.addWorker("w1", 0)
			o := h.startOwner(true)
			h.submit(o, newJob("a", 1))
			h.await("the task runs", func() bool { return len(odd.Running()) == 1 })
			h.addWorker("w2", 0)
			h.store.Put("workers", "w1", []byte(`{"Address":7}`))
			if successor {
				o.stop()
				h.startOwner(true)
			} else {
				time.Sleep(2 * leaseDuration) // longer than a lease that is not renewed
				if n := len(h.startsOf("a.0.0.0")); n != 1 {
					t.Errorf("the task was started %d times while its worker responded", n)
				}
				odd.SetUnresponsive(true)
			}
			h.await("the task runs elsewhere", func() bool { return len(h.startsOf("a.0.0.0")) == 2 })
			if len(odd.Running()) != 0 {
				t.Error("the task started elsewhere while it ran on the worker")
			}
		})
	}
}

// oddViews returns lists in which an instance cannot be used: with its ID, and without.
func oddViews(id string) map[string]func([]instances.Instance) []instances.Instance {
	odd := instances.Instance{State: instances.Unknown, Err: errors.NotValidf("item of a test")}
	replace := func(item instances.Instance) func([]instances.Instance) []instances.Instance {
		return func(list []instances.Instance) []instances.Instance {
			for i := range list {
				if list[i].ID == id {
					list[i] = item
				}
			}
			return list
		}
	}
	named := odd
	named.ID = id
	return map[string]func([]instances.Instance) []instances.Instance{"with its ID": replace(named), "without its ID": replace(odd)}
}

// Guards against a wave that is reported as completed, or stopped, because one of its instances is listed in a way that
// cannot be used.
func TestWaveWithOddInstance(t *testing.T) {
	for name, view := range oddViews("i2") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			logs := &logBuffer{}
			h.logs = logs
			c := h.withControl()
			c.add("i1", false)
			c.add("i2", false)
			c.view = view
			h.startOwner(true)
			h.startWave(2, "i1", "i2")
			h.await("the other instance is maintained", func() bool { return slices.Equal(c.ordered(), []string{"upkeep i1"}) })
			c.show(view)
			c.show(view)
			if h.waveCompleted() {
				t.Error("the wave is completed without its second instance")
			}
			if n := logs.count("instance skipped"); n != 1 {
				t.Errorf("%d lines about the instance, want one", n)
			}
			c.show(nil)
			h.await("the wave is completed", h.waveCompleted)
			if orders := c.ordered(); !slices.Equal(orders, []string{"upkeep i1", "upkeep i2"}) {
				t.Errorf("orders %v", orders)
			}
		})
	}
}

// Guards against maintenance that ends runs because the list does not tell the worker of their instance.
func TestOddInstanceKeepsItsRuns(t *testing.T) {
	for name, view := range oddViews("i1") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c := h.withControl()
			c.add("i1", false)
			o := h.startOwner(true)
			h.submit(o, atMostOnceJob("a"))
			h.await("the task runs", func() bool { return len(h.fleet.Running()) == 1 })
			h.startWave(1, "i1")
			h.await("the instance is cordoned", func() bool {
				cordoned := make(chan bool, 1)
				o.post(func() {
					inst := o.fleet.instances["i1"]
					cordoned <- inst != nil && !inst.cordonedAt.IsZero()
				})
				return <-cordoned
			})
			c.show(view)
			time.Sleep(drainTimeout + time.Second)
			if orders := c.ordered(); len(orders) != 0 || len(h.fleet.Running()) != 1 {
				t.Errorf("orders %v while the task runs", orders)
			}
			c.show(nil)
			if err := o.Cancel(t.Context(), "a", "org"); err != nil {
				t.Fatal(err)
			}
			h.await("the wave is completed", h.waveCompleted)
		})
	}
}

// Guards against work that a successor places on an instance whose move is unanswered, because it does not know where the
// instance is.
func TestSuccessorKeepsMoveOfOddInstance(t *testing.T) {
	for name, view := range oddViews("i1") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			c := h.leaveMoveUnanswered()
			c.mu.Lock()
			c.ignoreMoves, c.view = false, view
			c.mu.Unlock()
			second := h.startOwner(true)
			h.submit(second, newJob("a", 1))
			for range 3 {
				c.show(view)
			}
			if n := len(h.startsOf("a.0.0.0")); n > 0 {
				t.Error("a task was placed on an instance with an unanswered move")
			}
			c.show(nil)
			h.await("the move is repeated", func() bool { return slices.Contains(c.ordered(), "move i1 standby") })
			h.await("the task runs once an instance is back", func() bool { return len(h.startsOf("a.0.0.0")) == 1 })
		})
	}
}

// Guards against an entry of a service that is not configured: it names no worker, so it must not end the runs on the
// instance, or of the worker, that it names. It counts once its service is configured.
func TestEntryOfAnUnknownService(t *testing.T) {
	for _, id := range []string{"w2", "w1"} {
		t.Run("of worker "+id, func(t *testing.T) {
			h := newHarness(t)
			logs := &logBuffer{}
			h.logs = logs
			worker := h.addWorker("w1", 0)
			good := h.workerInfos["w1"]
			o := h.startOwner(true)
			h.submit(o, newJob("a", 1))
			h.await("the task runs", func() bool { return len(worker.Running()) == 1 })
			odd := good
			odd.ID, odd.Pool, odd.Incarnation, odd.Address = id, "other", 99, "address of nobody"
			h.publish(odd)
			h.addWorker("w3", 0)
			h.await("the later worker is known", func() bool {
				known := make(chan bool, 1)
				o.post(func() { w := o.workers["w3"]; known <- w != nil && w.sessionEstablished })
				return <-known
			})
			time.Sleep(2 * placementRetryInterval)
			if n := len(h.startsOf("a.0.0.0")); n != 1 {
				t.Errorf("the task was started %d times", n)
			}
			if n := logs.count("record skipped", "key="+id); n != 1 {
				t.Errorf("the entry was logged %d times, want once", n)
			}
			known := make(chan int64, 1)
			h.catalog.Store(catalog.New(2, nil, []*catalog.Pool{{Name: testPool}, {Name: "other"}}, nil, catalog.HTTPLimits{}))
			o.post(func() {
				o.registerUnconfigured()
				known <- o.workers[id].session.target.Incarnation
			})
			if incarnation := <-known; incarnation != 99 {
				t.Errorf("incarnation %d is asked once the service is configured, want 99", incarnation)
			}
			time.Sleep(2 * placementRetryInterval)
			if n := len(h.startsOf("a.0.0.0")); n != 1 {
				t.Errorf("the task was started %d times although nobody answers for the entry", n)
			}
		})
	}
}
