package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workers/workertest"
	"github.com/pollenford/pollenford/internal/workload"
)

// patience is how long a test waits for a condition before it fails.
const patience = 20 * time.Second

// codec reads workers, catalogs and waves as plain JSON. What only operators' tools need is missing.
type codec struct{ directory.Codec }

func (codec) OperatorTopic() topic.Name { return "operator" }
func (codec) WorkerTopic() topic.Name   { return "workers" }
func (codec) StatusTopic() topic.Name   { return "status" }

func (codec) DecodeOperator(r topic.Record) (directory.OperatorRecord, error) {
	wave := &instances.Wave{}
	err := json.Unmarshal(r.Value, wave)
	return directory.OperatorRecord{Wave: wave}, err
}

func (codec) DecodeWorker(r topic.Record) (info workers.Info, err error) {
	err = json.Unmarshal(r.Value, &info)
	return info, err
}

func (codec) EncodeWaveStatus(wave int64, completed bool) topic.Record {
	return topic.Record{Key: fmt.Sprint(wave), Value: []byte(fmt.Sprint(completed))}
}

// harness is a store, a fleet of workers and the owners that work with them.
type harness struct {
	t       testing.TB
	quiet   bool // logs nothing
	scope   tally.Scope
	open    topic.Store // what owners work with
	store   *topictest.Store
	fleet   *workertest.Fleet
	control instances.Control
	advice  advice.Adviser
	catalog atomic.Pointer[catalog.Catalog]
	infos   map[string]workers.Info
	fence   int64
}

const testPool = "pool"

func newHarness(t testing.TB) *harness {
	w := &harness{t: t, store: &topictest.Store{}, fleet: &workertest.Fleet{}, infos: map[string]workers.Info{}}
	w.limit(catalog.Resources{})
	w.scope, w.open = tally.NoopScope, w.store
	return w
}

// limit puts a configuration in force in which the only organisation has a limit.
func (w *harness) limit(limit catalog.Resources) {
	w.catalog.Store(catalog.New(1,
		[]*catalog.Queue{{Name: "queue", Pool: testPool, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second}},
		[]*catalog.Pool{{Name: testPool, EnforcesCapacity: true}},
		[]*catalog.Organisation{{Name: "org", Limit: limit, Weight: 1}}, catalog.HTTPLimits{}))
}

// addWorker adds a addWorker of four cores whose runs take a time; 0 until they are stopped.
func (w *harness) addWorker(id string, workFor time.Duration) *workertest.Worker {
	address := "address-of-" + id
	w.publish(workers.Info{
		ID: id, Incarnation: 1, Address: address, Pool: testPool, Instance: "instance-of-" + id,
		Capacity: catalog.Resources{CPU: 4000, MemoryMB: 4000},
	})
	return w.fleet.Add(address, id, 1, workFor)
}

func (w *harness) publish(info workers.Info) {
	w.infos[info.ID] = info
	w.store.Put("workers", info.ID, encodeJSON(w.t, info))
}

func encodeJSON(t testing.TB, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// running is an owner in its term.
type running struct {
	*Owner
	term *leader.Term
	end  context.CancelFunc
	done chan error
}

// startOwner starts the next startOwner. gone tells it that the one before has stopped.
func (w *harness) startOwner(gone bool) *running {
	w.fence++
	ctx, cancel := context.WithCancel(context.Background())
	log := hclog.New(&hclog.LoggerOptions{Output: testWriter{w.t}, Level: hclog.Debug})
	if w.quiet {
		log = hclog.NewNullLogger()
	}
	r := &running{end: cancel, done: make(chan error, 1)}
	r.term = leader.NewTerm(w.fence, gone)
	r.Owner = New(ctx, Config{
		Store: w.open, Workers: w.fleet, Control: w.control, Advice: w.advice, Codec: codec{}, Catalog: w.catalog.Load,
		OnCatalog: func(*catalog.Catalog) {}, Name: fmt.Sprint("owner-", w.fence), MaxRecordBytes: 64 << 10, MaxAppendBytes: 1 << 20, Scope: w.scope,
		Timing: Timing{MaxLease: 10 * time.Second, StopTime: 50 * time.Millisecond, StatusRetention: time.Minute, MaintenanceTime: 200 * time.Millisecond},
		Log:    log,
	}, r.term)
	if err := r.Recover(); err != nil {
		w.t.Fatal(err)
	}
	renew := func() {
		for wait.For(ctx, 50*time.Millisecond) {
			r.term.MarkRenewed()
		}
	}
	go renew()
	go func() { r.done <- r.Run() }()
	w.t.Cleanup(r.stop)
	return r
}

func (r *running) stop() { r.end(); <-r.Owner.ctx.Done() }

// testWriter sends log lines to the test's log, which is shown when it fails.
type testWriter struct{ t testing.TB }

func (w testWriter) Write(line []byte) (int, error) {
	if w.t.Context().Err() == nil { // an owner may still log while the test ends
		w.t.Log(string(line))
	}
	return len(line), nil
}

// newJob returns a job of one step for each count; each step follows the one before.
func newJob(id string, counts ...int) *workload.Job {
	j := &workload.Job{ID: id, Queue: "queue", Organisation: "org", Spec: "spec of " + id, ReceivedMS: time.Now().UnixMilli()}
	for i, n := range counts {
		s := workload.Step{Count: n, Resources: catalog.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 50 * time.Millisecond}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func longRunningJob(id string, count, maxUnavailable int) *workload.Job {
	j := newJob(id, count)
	j.Steps[0].LongRunning, j.Steps[0].MaxUnavailable, j.Steps[0].MaxPerWorker = true, maxUnavailable, 1
	return j
}

func (w *harness) submit(o *running, j *workload.Job) {
	w.t.Helper()
	if err := o.Submit(w.t.Context(), j); err != nil {
		w.t.Fatalf("submitting %s: %v", j.ID, err)
	}
}

func (w *harness) status(o *running, id string) jobs.Status {
	w.t.Helper()
	status, err := o.Status(w.t.Context(), id, "org")
	if err != nil {
		w.t.Fatalf("status of %s: %v", id, err)
	}
	return status
}

func (w *harness) await(what string, condition func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *harness) awaitState(o *running, id string, state workload.State) {
	w.t.Helper()
	w.await(fmt.Sprintf("job %s is %v", id, state), func() bool { return w.status(o, id).State == state })
}

// startsOf returns the runs of a task that began.
func (w *harness) startsOf(task string) []workertest.Start {
	var all []workertest.Start
	for _, s := range w.fleet.Starts() {
		if s.Task == task {
			all = append(all, s)
		}
	}
	return all
}
