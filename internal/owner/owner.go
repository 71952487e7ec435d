// Package owner decides for a shard: it keeps jobs, places their tasks on workers and holds the workers' leases. All
// state belongs to one loop; calls to the store and to workers are made beside it and come back as events.
//
// A decision takes effect outside only after the record that contains it is acknowledged (see commit.go).
package owner

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/instances"
	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// jobsTopic holds the jobs and their progress.
const jobsTopic topic.Name = "keyed.jobs"

// Prefixes of the keys in jobsTopic.
const (
	jobKeyPrefix      = "j/"
	progressKeyPrefix = "s/"
)

const (
	// tickEvery is the resolution of time-outs, a small part of the shortest of them.
	tickEvery = 50 * time.Millisecond
	// eventQueue is how many events may wait; senders wait beyond that.
	eventQueue = 1024
	// storeRetry is the pause before a call to the store is repeated.
	storeRetry = 30 * time.Millisecond
	// storeTimeout bounds a call to the store, whose usual answer takes 4 ms and a slow one 65 times that.
	storeTimeout = 800 * time.Millisecond
	// workersEvery is the time between two reads of the workers' entries: well below the 2 s in which a draining worker
	// must stop receiving work.
	workersEvery        = 300 * time.Millisecond
	operatorPollTimeout = 2 * time.Second
)

// errReplaced means that another owner has taken over.
const errReplaced = errors.ConstError("another owner has taken over")

// Timing holds the bounds that the deployment sets.
type Timing struct {
	MaxLease        time.Duration // longest lease that a worker grants
	StopTime        time.Duration // longest time that a stop takes
	EarlyStart      time.Duration // how much earlier than due an occurrence may start
	StatusRetention time.Duration // how long an ended job can be asked for
	MoveTime        time.Duration // until an instance has moved
	MaintenanceTime time.Duration // until the upkeep of an instance is over
	// ControlRate is how many orders a second the instance service takes; 0 is no limit.
	ControlRate float64
}

// Config is what an owner works with.
type Config struct {
	Store   topic.Store
	Workers workers.Client
	// Control is nil where instances cannot be controlled.
	Control instances.Control
	// Advice is nil where the deployment has no placement advice.
	Advice advice.Adviser
	Codec  directory.Codec
	// Catalog returns the configuration in force on this instance, and OnCatalog offers it a newer one.
	Catalog   func() *catalog.Catalog
	OnCatalog func(*catalog.Catalog)
	// Name identifies the instance as the holder of duties.
	Name   string
	Timing Timing
	// MaxRecordBytes bounds a record of the store, MaxAppendBytes an append.
	MaxRecordBytes, MaxAppendBytes int
	Scope                          tally.Scope
	Log                            hclog.Logger
}

// Owner is one term as the owner of the shard.
type Owner struct {
	cfg    Config
	term   *leader.Term
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan func()

	// The fields below belong to the loop.
	jobs    map[string]*job
	active  map[string]*job // jobs that have not ended
	ended   []endedJob      // in the order in which they ended
	workers map[string]*worker
	usage   map[string]catalog.Resources // of organisations: everything that may run
	began   time.Time
	commit  committer
	replan  bool // something changed that may allow a placement
	lastTry time.Time
	fleet   fleetState
	// pendingCPU is what tasks that found no room ask of each pool, in thousandths of a core.
	pendingCPU map[string]int64
	// arrivalRates is the rate of work for each pool.
	arrivalRates map[string]*pool.ArrivalRate
	// blockedEvictions counts, for each pool, lasting tasks of a step that are to leave their worker and have nowhere to go.
	blockedEvictions map[string]int
	tickets          map[stepKey]*tickets
	metrics          metrics
	seen             map[string]int64 // unreadable records that were logged, with their offset
}

// job is a job with what is derived of it.
type job struct {
	spec     *workload.Job
	progress *workload.Progress
	// unrecordedChanges counts changes that are not acknowledged by the store.
	unrecordedChanges int
	dirty             bool        // queued for the next append
	written           bool        // the job itself is part of an append
	neverRecorded     bool        // no append with the job is acknowledged yet
	forgot            bool        // the job itself is no longer recorded
	recordedStatus    jobs.Status // as acknowledged by the store
	waiters           []func()    // called once the end of the job is recorded
	plan              plan
}

func (j *job) status() jobs.Status {
	return jobs.Status{
		State: j.progress.State, Begun: j.progress.Begun, Interrupted: j.progress.Interrupted,
		Fingerprint: j.progress.Fingerprint, Answer: j.progress.Answer,
	}
}

type endedJob struct {
	id string
	ms int64
}

// New returns an owner for a term. Run must be called once.
func New(ctx context.Context, cfg Config, term *leader.Term) *Owner {
	o := &Owner{
		cfg: cfg, term: term, log: cfg.Log.With("fence", term.Fence), events: make(chan func(), eventQueue),
		jobs: map[string]*job{}, active: map[string]*job{}, workers: map[string]*worker{},
		usage: map[string]catalog.Resources{}, began: time.Now(), seen: map[string]int64{}, metrics: newMetrics(cfg.Scope),
		tickets: map[stepKey]*tickets{}, arrivalRates: map[string]*pool.ArrivalRate{},
	}
	o.ctx, o.cancel = context.WithCancelCause(ctx)
	o.fleet.init()
	o.fleet.callBudget.PerSecond = cfg.Timing.ControlRate * newOrderShare
	return o
}

// Recover fences older owners and reads what they recorded.
func (o *Owner) Recover() error {
	began := time.Now()
	if err := o.fence(); err != nil {
		return err
	}
	var records []topic.Record
	err := o.retryStore("reading the jobs", func(ctx context.Context) (err error) {
		records, _, err = topic.ReadSnapshot(ctx, o.cfg.Store, jobsTopic)
		return err
	})
	if err != nil {
		return err
	}
	o.began = time.Now()
	o.load(records)
	o.metrics.recovery.RecordDuration(time.Since(began))
	o.log.Info("took over", "records", len(records), "active_jobs", len(o.active), "ms", time.Since(began).Milliseconds())
	return nil
}

// fence raises the producer's epoch, after which no older owner can record a decision.
func (o *Owner) fence() error {
	return o.retryStore("fencing older owners", func(ctx context.Context) error {
		_, _, err := o.cfg.Store.Append(ctx, jobsTopic, topic.Batch{Producer: o.producer()})
		return err
	})
}

func (o *Owner) producer() *topic.Producer {
	return &topic.Producer{Name: "owner", Epoch: o.term.Fence, Sequence: o.commit.sequence}
}

// retryStore repeats a call to the store until it succeeds, another owner is seen or the term ends.
func (o *Owner) retryStore(what string, call func(ctx context.Context) error) error {
	for {
		ctx, stop := context.WithTimeout(o.ctx, storeTimeout)
		err := call(ctx)
		stop()
		switch {
		case err == nil:
			return nil
		case errors.Is(err, topic.ErrFenced):
			return errReplaced
		}
		o.log.Warn("store call failed", "call", what, "err", err)
		if !wait.For(o.ctx, storeRetry) {
			return context.Cause(o.ctx)
		}
	}
}

func (o *Owner) load(records []topic.Record) {
	for _, r := range records {
		if r.Value == nil || len(r.Key) < len(jobKeyPrefix) {
			continue
		}
		id := r.Key[len(jobKeyPrefix):]
		var err error
		switch r.Key[:len(jobKeyPrefix)] {
		case jobKeyPrefix:
			spec := &workload.Job{}
			if err = cbor.Unmarshal(r.Value, spec); err == nil {
				o.loaded(id).spec = spec
			}
		case progressKeyPrefix:
			progress := &workload.Progress{}
			if err = cbor.Unmarshal(r.Value, progress); err == nil {
				progress.RebuildIndex()
				o.loaded(id).progress = progress
			}
		case waveKeyPrefix:
			err = o.loadWave(r)
		case lossKeyPrefix:
			err = o.loadLoss(id, r)
		}
		if err != nil {
			o.log.Error("unreadable record", "key", r.Key, "offset", r.Offset, "err", err)
		}
	}
	for id, j := range o.jobs {
		o.adoptJob(id, j)
	}
}

func (o *Owner) loaded(id string) *job {
	j := o.jobs[id]
	if j == nil {
		j = &job{}
		o.jobs[id] = j
	}
	return j
}

// adoptJob takes over a recorded job. What is placed counts as running until its worker says otherwise.
func (o *Owner) adoptJob(id string, j *job) {
	if j.progress == nil {
		j.progress = workload.NewProgress(j.spec)
		j.progress.CreateDue(j.spec, time.Now().UnixMilli())
	}
	j.written = true
	j.recordedStatus = j.status()
	if j.spec == nil {
		if j.progress.State == workload.Active {
			o.log.Error("progress of a job that is not recorded", "job", id)
			delete(o.jobs, id)
			return
		}
		j.forgot = true
		o.ended = append(o.ended, endedJob{id, j.progress.EndedMS})
		return
	}
	if j.progress.State == workload.Active {
		o.active[id] = j
		o.computePlan(j)
	} else {
		o.ended = append(o.ended, endedJob{id, j.progress.EndedMS})
	}
	for _, occurrence := range j.progress.Current {
		for step, tasks := range occurrence.Tasks {
			for index := range tasks {
				if t := &tasks[index]; t.Phase == workload.Placed {
					o.adoptRun(j, workload.TaskRef{Occurrence: occurrence.Number, Step: step, Index: index}, t)
				}
			}
		}
	}
}

// Run decides until the term ends.
func (o *Owner) Run() error {
	defer o.cancel(nil)
	go o.followWorkers()
	go o.followOperator()
	if o.cfg.Control != nil {
		go o.listInstances()
	}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case event := <-o.events:
			event()
			o.drain()
		case <-tick.C:
			o.tick()
		case <-o.ctx.Done():
			return context.Cause(o.ctx)
		}
		// While an append is in flight, what is placed now would only wait for it: the next one takes all together.
		if o.replan && !o.commit.inFlight {
			o.replan = false
			o.place()
		}
		o.flush()
	}
}

// drain runs the events that are waiting, so that their decisions share a placement and an append.
func (o *Owner) drain() {
	for range eventQueue {
		select {
		case event := <-o.events:
			event()
		default:
			return
		}
	}
}

// post hands an event to the loop. It reports whether the loop will run it.
func (o *Owner) post(event func()) bool {
	select {
	case o.events <- event:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// stepDown ends the term after evidence of a newer owner.
func (o *Owner) stepDown(evidence string) {
	o.log.Warn("stepping down", "evidence", evidence)
	o.cancel(errReplaced)
}

// leading reports whether the owner may renew leases: it knows that nobody has replaced it for long.
func (o *Owner) leading() bool { return o.term.Age() < renewBound }

func (o *Owner) tick() {
	now := time.Now()
	for _, w := range o.workers {
		o.checkWorker(w, now)
	}
	for _, j := range o.active {
		if j.spec.IsScheduled() && j.progress.CreateDue(j.spec, now.Add(o.cfg.Timing.EarlyStart/2).UnixMilli()) {
			o.markDirty(j)
			o.replan = true
		}
	}
	o.expireJobs(now)
	o.forgetTickets()
	o.report()
	o.tickFleet(now)
	// Placements that wait for a time rather than an event are looked at again now and then.
	if now.Sub(o.lastTry) > placementRetryInterval {
		o.lastTry = now
		o.replan = true
	}
}

// expireJobs drops ended jobs that nobody can ask for any more.
func (o *Owner) expireJobs(now time.Time) {
	for len(o.ended) > 0 && now.UnixMilli()-o.ended[0].ms > o.cfg.Timing.StatusRetention.Milliseconds()+forgetMargin.Milliseconds() {
		id := o.ended[0].id
		j := o.jobs[id]
		if j != nil && len(j.progress.Current) > 0 {
			return // a run of it may still be on a worker
		}
		o.ended = o.ended[1:]
		if j != nil {
			delete(o.jobs, id)
			o.queueRecord(topic.Record{Key: progressKeyPrefix + id})
			o.queueRecord(topic.Record{Key: jobKeyPrefix + id})
		}
	}
}

// report updates the gauges.
func (o *Owner) report() {
	held := 0
	for _, w := range o.workers {
		if w.sessionEstablished {
			held++
		}
	}
	o.metrics.workers.Update(float64(held))
	o.metrics.active.Update(float64(len(o.active)))
}

// forgetMargin keeps ended jobs for longer than promised, for clocks that jump.
const forgetMargin = 30 * time.Second

// logOnce logs an unreadable record the first time it is seen.
func (o *Owner) logOnce(name topic.Name, r topic.Record, err error) {
	id := string(name) + "/" + r.Key
	if o.seen[id] != r.Offset+1 {
		o.seen[id] = r.Offset + 1
		o.log.Warn("record skipped", "topic", name, "key", r.Key, "offset", r.Offset, "err", err)
	}
}
