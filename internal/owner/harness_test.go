package owner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
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

// awaitTimeout is how long a test waits for a condition before it fails.
const awaitTimeout = 20 * time.Second

// codec decodes workers and waves from plain JSON. Methods that only operators' tools use are not implemented.
type codec struct{ directory.Codec }

func (codec) OperatorTopic() topic.Name { return "operator" }
func (codec) WorkerTopic() topic.Name   { return "workers" }
func (codec) StatusTopic() topic.Name   { return "status" }
func (codec) ConfigKey() string         { return "config" }

func (codec) DecodeOperator(r topic.Record) (directory.OperatorRecord, error) {
	if zone, ok := strings.CutPrefix(r.Key, evacuationPrefix); ok {
		return directory.OperatorRecord{Evacuation: &directory.Evacuation{Zone: zone, Removed: r.Value == nil}}, nil
	}
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

// harness runs owners against an in-memory store and a fleet of fake workers.
type harness struct {
	t           testing.TB
	discardLogs bool      // disables the owners' logs
	logs        io.Writer // also receives the owners' logs, unless it is nil
	scope       tally.Scope
	ownerStore  topic.Store // the store that owners use; store unless a test wraps it
	store       *topictest.Store
	fleet       *workertest.Fleet
	workers     workers.Client // what owners use; fleet unless a test wraps it
	control     instances.Control
	advice      advice.Adviser
	catalog     atomic.Pointer[catalog.Catalog]
	workerInfos map[string]workers.Info
	fence       int64
	memoryMB    int          // of the instances
	evacuations *Evacuations // of the next owner's process; none are known unless a test sets it
}

const testPool = "pool"

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, store: &topictest.Store{}, fleet: &workertest.Fleet{}, workerInfos: map[string]workers.Info{}}
	h.setLimit(catalog.Resources{})
	h.scope, h.ownerStore, h.workers = tally.NoopScope, h.store, h.fleet
	return h
}

// setLimit installs a configuration whose only organisation has the given limit.
func (h *harness) setLimit(limit catalog.Resources) {
	h.catalog.Store(catalog.New(1,
		[]*catalog.Queue{{Name: "queue", Pool: testPool, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second}},
		[]*catalog.Pool{{Name: testPool, EnforcesCapacity: true}},
		[]*catalog.Organisation{{Name: "org", Limit: limit, Weight: 1}}, catalog.HTTPLimits{}))
}

// addWorker adds a worker with four cores whose runs take the given time; with 0 they run until they are stopped.
func (h *harness) addWorker(id string, runTime time.Duration) *workertest.Worker {
	address := "address-of-" + id
	h.publish(workers.Info{
		ID: id, Incarnation: 1, Address: address, Pool: testPool, Instance: "instance-of-" + id,
		Capacity: catalog.Resources{CPU: 4000, MemoryMB: 4000},
	})
	return h.fleet.Add(address, id, 1, runTime)
}

func (h *harness) publish(info workers.Info) {
	h.workerInfos[info.ID] = info
	h.store.Put("workers", info.ID, encodeJSON(h.t, info))
}

func encodeJSON(t testing.TB, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// runningOwner is an owner whose event loop runs.
type runningOwner struct {
	*Owner
	term       *leader.Term
	cancelTerm context.CancelFunc
	noRenewals atomic.Bool
	done       chan error
}

// startOwner starts the next owner. predecessorEnded states that the previous owner is known to have stopped.
func (h *harness) startOwner(predecessorEnded bool) *runningOwner {
	r := h.newOwner(predecessorEnded)
	r.start()
	return r
}

// newOwner returns the next owner, which has recovered but processes no events yet.
func (h *harness) newOwner(predecessorEnded bool) *runningOwner {
	r := h.unrecoveredOwner(predecessorEnded)
	if err := r.Recover(); err != nil {
		h.t.Fatal(err)
	}
	return r
}

// unrecoveredOwner returns the next owner, which renews its record but has not recovered.
func (h *harness) unrecoveredOwner(predecessorEnded bool) *runningOwner {
	h.fence++
	ctx, cancel := context.WithCancel(context.Background())
	var output io.Writer = testWriter{h.t}
	if h.logs != nil {
		output = io.MultiWriter(output, h.logs)
	}
	log := hclog.New(&hclog.LoggerOptions{Output: output, Level: hclog.Debug})
	if h.discardLogs {
		log = hclog.NewNullLogger()
	}
	r := &runningOwner{cancelTerm: cancel, done: make(chan error, 1)}
	r.term = leader.NewTerm(h.fence, predecessorEnded)
	r.Owner = New(ctx, h.config(log), r.term)
	renew := func() {
		for wait.For(ctx, 50*time.Millisecond) {
			if !r.noRenewals.Load() {
				r.term.MarkRenewed()
			}
		}
	}
	go renew()
	h.t.Cleanup(r.stop)
	return r
}

// evacuationPrefix begins the keys of the evacuations of zones.
const evacuationPrefix = "evacuate/"

// noEvacuations returns the state of a process that has read the operators' topic and found no evacuation.
func noEvacuations(bound time.Duration) *Evacuations {
	e := NewEvacuations(bound, hclog.NewNullLogger())
	e.replace(operatorRecords{asOf: leader.BootTime()})
	return e
}

func (h *harness) knownEvacuations() *Evacuations {
	if h.evacuations != nil {
		return h.evacuations
	}
	return noEvacuations(0)
}

// config returns the configuration of the next owner.
func (h *harness) config(log hclog.Logger) Config {
	return Config{
		Store: h.ownerStore, Workers: h.workers, Control: h.control, Advice: h.advice, Codec: codec{}, Catalog: h.catalog.Load,
		Evacuations: h.knownEvacuations(), OnCatalog: func(*catalog.Catalog) {}, Name: fmt.Sprint("owner-", h.fence),
		MemoryMB: h.memoryMB, MaxRecordBytes: 64 << 10, MaxAppendBytes: 1 << 20, Scope: h.scope,
		Timing: Timing{MaxLease: 10 * time.Second, StopTime: 50 * time.Millisecond, StatusRetention: time.Minute,
			MaintenanceTime: 200 * time.Millisecond},
		Log: log,
	}
}

// start begins to process events.
func (r *runningOwner) start() {
	go func() { r.done <- r.Run() }()
}

// pause makes the event loop stand still until the returned function is called.
func (r *runningOwner) pause() (resume func()) {
	paused, goOn := make(chan bool), make(chan bool)
	r.post(func() { close(paused); <-goOn })
	<-paused
	return func() { close(goOn) }
}

// inLoop runs a function in the event loop of an owner.
func (h *harness) inLoop(o *runningOwner, do func()) {
	h.t.Helper()
	done := make(chan bool)
	if !o.post(func() { defer close(done); do() }) {
		h.t.Fatal("the owner has stopped")
	}
	<-done
}

// pauseRenewals keeps the owner from renewing its record, as if its process were suspended.
func (r *runningOwner) pauseRenewals() { r.noRenewals.Store(true) }

func (r *runningOwner) stop() { r.cancelTerm(); <-r.Owner.ctx.Done() }

// testWriter writes log lines to the test's log, which is shown if the test fails.
type testWriter struct{ t testing.TB }

func (w testWriter) Write(line []byte) (int, error) {
	if w.t.Context().Err() == nil { // an owner may still log while the test ends
		w.t.Log(string(line))
	}
	return len(line), nil
}

// newJob returns a job with one step of n tasks for each count n. Each step depends on the previous one.
func newJob(id string, counts ...int) *workload.Job {
	j := &workload.Job{
		ID: id, Queue: "queue", Organisation: "org", Spec: "spec of " + id, ReceivedMS: time.Now().UnixMilli()}
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

func (h *harness) submit(o *runningOwner, j *workload.Job) {
	h.t.Helper()
	if err := o.Submit(h.t.Context(), j); err != nil {
		h.t.Fatalf("submitting %s: %v", j.ID, err)
	}
}

func (h *harness) status(o *runningOwner, id string) jobs.Status {
	h.t.Helper()
	status, err := o.Status(h.t.Context(), id, "org")
	if err != nil {
		h.t.Fatalf("status of %s: %v", id, err)
	}
	return status
}

func (h *harness) await(what string, condition func() bool) {
	h.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			h.t.Fatalf("not within %v: %s", awaitTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (h *harness) awaitState(o *runningOwner, id string, state workload.State) {
	h.t.Helper()
	h.await(fmt.Sprintf("job %s is %v", id, state), func() bool { return h.status(o, id).State == state })
}

// startsOf returns the started runs of a task.
func (h *harness) startsOf(task string) []workertest.Start {
	var all []workertest.Start
	for _, s := range h.fleet.Starts() {
		if s.Task == task {
			all = append(all, s)
		}
	}
	return all
}
