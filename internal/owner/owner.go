// Package owner implements the owner of a shard: it records jobs, places their tasks on workers and renews the workers'
// leases. A single event loop holds all state; calls to the store and to workers run in goroutines that post their
// results to it.
//
// A decision has external effects only after the store has acknowledged the record that contains it (see commit.go).
package owner

import (
	"cmp"
	"context"
	"runtime/debug"
	"slices"
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
	"github.com/pollenford/pollenford/internal/logs"
	"github.com/pollenford/pollenford/internal/pool"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/internal/workload"
)

// jobsTopic holds the jobs and their progress.
const jobsTopic topic.Name = "keyed.jobs"

// ownerProducer is the name under which owners write as a fenced producer.
const ownerProducer = "owner"

// Prefixes of the keys in jobsTopic.
const (
	jobKeyPrefix      = "j/"
	progressKeyPrefix = "s/"
)

const (
	// tickInterval is the resolution of timeouts, a small fraction of the shortest of them.
	tickInterval = 50 * time.Millisecond
	// eventQueueSize is the capacity of the event queue; senders block while it is full.
	eventQueueSize = 1024
	// storeRetryDelay is the pause before a store call is retried.
	storeRetryDelay = 30 * time.Millisecond
	// storeTimeout bounds a store call. Calls usually take 4 ms, slow ones 65 times as long.
	storeTimeout = 800 * time.Millisecond
	// workerPollInterval is the time between reads of the worker directory, well below the 2 s within which a draining
	// worker must stop receiving work.
	workerPollInterval  = 300 * time.Millisecond
	operatorPollTimeout = 2 * time.Second
)

// errReplaced is the cause with which a term ends when another owner has taken over.
const errReplaced = errors.ConstError("another owner has taken over")

// Timing holds the time limits set by the deployment.
type Timing struct {
	MaxLease        time.Duration // longest lease that a worker accepts
	StopTime        time.Duration // longest time that stopping a run takes
	EarlyStart      time.Duration // how long before its due time an occurrence may start
	StatusRetention time.Duration // how long the status of an ended job can be queried
	MoveTime        time.Duration // time that moving an instance takes
	MaintenanceTime time.Duration // time that maintenance of an instance takes
	// EvacuationBound is how long after the record of a zone's evacuation a start may still be sent there; 0 sets no bound.
	EvacuationBound time.Duration
	// ControlRate is the limit of the instance service in requests per second; 0 means no limit.
	ControlRate float64
}

// Config holds the dependencies and limits of an Owner.
type Config struct {
	Store   topic.Store
	Workers workers.Client
	// Control is nil if instances cannot be controlled.
	Control instances.Control
	// Advice is nil if the deployment offers no placement advice.
	Advice advice.Adviser
	Codec  directory.Codec
	// Evacuations is what the process knows of evacuated zones. The owner uses and extends it. Without it the owner
	// knows of none before it has read the operators' topic.
	Evacuations *Evacuations
	// Catalog returns the active configuration; OnCatalog receives every one read from the operator topic.
	Catalog   func() *catalog.Catalog
	OnCatalog func(*catalog.Catalog)
	// Name identifies this instance to the instance service and to operators.
	Name   string
	Timing Timing
	// MemoryMB is the memory of the instance, 0 without a limit. SmallestEntryMB returns that of the smallest instance that may
	// become the next owner, 0 if it is unknown; it may be nil.
	MemoryMB        int
	SmallestEntryMB func() int64
	// MaxRecordBytes limits a record in the store, MaxAppendBytes a single append.
	MaxRecordBytes, MaxAppendBytes int
	Overload                       OverloadPolicy
	Scope                          tally.Scope
	Log                            hclog.Logger
}

// Owner manages the shard for one term.
type Owner struct {
	cfg    Config
	term   *leader.Term
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelCauseFunc
	events chan func()

	// The fields below may be accessed only in the event loop.
	jobs             map[string]*job
	active           map[string]*job // jobs that have not ended
	ended            []endedJob      // ordered by end time
	earlyCancels     earlyCancels
	workers          map[string]*worker
	workerIndex      workerIndex
	losses           map[string]*lossRecord       // by worker ID, also of workers that were removed
	usage            map[string]catalog.Resources // resources of all runs that may be active, by organisation
	recoveredAt      time.Time
	lastTurn         time.Duration // boot-time clock of the last check for a pause, first when the records were read
	pauses           int           // of the event loop
	commit           committer
	rounds           roundBuffers
	overload         overloadState
	rejections       logs.Summary
	accounts         accounts
	terms            map[*catalog.Queue]*workload.QueueTerms // of queues of the active configuration
	replan           bool                                    // a change may allow further placements
	lastPlacementTry time.Time
	fleet            fleetState
	// pendingCPU is the CPU requested by tasks that could not be placed, by pool, in thousandths of a core.
	pendingCPU map[string]int64
	// demands holds the arriving work, by pool.
	demands map[string]*pool.Demand
	// blockedEvictions lists the runs of long-running tasks to evict that no other worker can take now. Placement rounds
	// hold back room for them.
	blockedEvictions []*placement
	advice           adviceState
	evacuations      *Evacuations // may be used outside of the event loop
	startGuard       startGuard
	recoveryLimits   recoveryLimits
	metrics          metrics
	loggedOffsets    map[string]int64 // offset + 1 of unreadable records already logged, by topic and key
}

// job holds a job, its progress and the state derived from them.
type job struct {
	spec     *workload.Job
	progress *workload.Progress
	// unrecordedChanges counts changes that the store has not acknowledged.
	unrecordedChanges int
	dirty             bool // queued for the next append
	specWritten       bool // an append contains or contained the specification
	recordsEndOnly    bool // its progress could not be recorded, so that its tasks are left out
	neverRecorded     bool // no append with the job has been acknowledged
	specDeleted       bool // the record of the specification was deleted
	specForgotten     bool // spec has only what is needed of an ended job
	charge            charge
	placed            int         // runs
	recordedStatus    jobs.Status // latest status acknowledged by the store
	waiters           []func()    // called once the job's end is recorded
	submissions       []reply     // calls to reject if the job is withdrawn before it is recorded
	plan              plan
	demanded          int // occurrences that count as demand on the pool
	// stepsBegan holds when this owner placed the first task of each step.
	stepsBegan map[stepKey]time.Time
}

func (j *job) status() jobs.Status {
	return jobs.Status{
		State: j.progress.State, Begun: j.progress.Begun, StartUnconfirmed: j.progress.StartUnconfirmed,
		Interrupted: j.progress.Interrupted, Fingerprint: j.progress.Fingerprint, Answer: j.progress.Answer,
	}
}

type endedJob struct {
	id      string
	endedMS int64
}

// New returns an owner for the given term. Call Recover and then Run, each once.
func New(ctx context.Context, cfg Config, term *leader.Term) *Owner {
	o := &Owner{
		cfg: cfg, term: term, log: cfg.Log.With("fence", term.Fence), events: make(chan func(), eventQueueSize),
		jobs: map[string]*job{}, active: map[string]*job{}, workers: map[string]*worker{}, losses: map[string]*lossRecord{},
		usage: map[string]catalog.Resources{}, recoveredAt: time.Now(), loggedOffsets: map[string]int64{},
		metrics: newMetrics(cfg.Scope), demands: map[string]*pool.Demand{},
		recoveryLimits: defaultRecoveryLimits, evacuations: cfg.Evacuations,
	}
	if o.evacuations == nil {
		o.evacuations = NewEvacuations(cfg.Timing.EvacuationBound, cfg.Log)
	}
	o.ctx, o.cancel = context.WithCancelCause(ctx)
	o.fleet.init()
	o.advice.init()
	o.earlyCancels.init()
	o.fleet.callBudget.PerSecond = cfg.Timing.ControlRate * newOrderShare
	o.updateLimits()
	return o
}

func (o *Owner) producer() *topic.Producer {
	return &topic.Producer{Name: ownerProducer, Epoch: o.term.Fence, Sequence: o.commit.sequence}
}

// retryStore repeats a store call until it succeeds. It returns errReplaced if a newer owner has fenced this one, and
// the cause if the term ends.
func (o *Owner) retryStore(operation string, call func(ctx context.Context) error) error {
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
		o.log.Warn("store call failed", "call", operation, "err", err)
		if !wait.For(o.ctx, storeRetryDelay) {
			return context.Cause(o.ctx)
		}
	}
}

// loadRecords decodes a page of records. Call adoptRecords after the last one.
func (o *Owner) loadRecords(records []topic.Record) {
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
				o.getOrCreateJob(id).spec = spec
			}
		case progressKeyPrefix:
			progress := &workload.Progress{}
			if err = cbor.Unmarshal(r.Value, progress); err == nil {
				o.getOrCreateJob(id).progress = progress
			}
		case waveKeyPrefix:
			err = o.loadWave(r)
		case lossKeyPrefix:
			err = o.loadLoss(id, r)
		case moveKeyPrefix:
			err = o.loadMove(id, r)
		case earlyCancelKeyPrefix:
			err = o.earlyCancels.load(id, r)
		}
		if err != nil {
			o.log.Error("unreadable record skipped", "key", r.Key, "offset", r.Offset, "err", err)
		}
	}
}

// adoptRecords restores the state of which the records were loaded.
func (o *Owner) adoptRecords() {
	o.earlyCancels.sort()
	for organisation, n := range o.earlyCancels.bytesByOrganisation() {
		o.accounts.accepted.Add(organisation, n)
	}
	for id, j := range o.jobs {
		if o.adoptJob(id, j) {
			o.account(j)
		} else {
			delete(o.jobs, id)
		}
	}
	slices.SortFunc(o.ended, func(a, b endedJob) int { return cmp.Compare(a.endedMS, b.endedMS) })
}

func (o *Owner) getOrCreateJob(id string) *job {
	j := o.jobs[id]
	if j == nil {
		j = &job{}
		o.jobs[id] = j
	}
	return j
}

// adoptJob restores a recorded job and reports whether it can be kept. Placed tasks count as running until their worker
// reports otherwise.
func (o *Owner) adoptJob(id string, j *job) bool {
	if err := j.check(); err != nil {
		o.log.Error("malformed job skipped: its records stay in the store", "job", id, "err", err)
		return false
	}
	if j.progress == nil { // no task was placed
		j.progress = workload.NewProgress(j.spec)
		j.progress.CreateUpTo(j.spec, time.Now().UnixMilli(), 1)
	}
	j.specWritten = true
	j.recordedStatus = j.status()
	if j.spec == nil {
		if j.progress.State == workload.Active {
			o.log.Error("active job dropped: its specification is not recorded", "job", id)
			return false
		}
		j.specDeleted, j.specForgotten = true, true
		j.spec = &workload.Job{ID: id, Queue: j.progress.Queue, Organisation: j.progress.Organisation}
		o.ended = append(o.ended, endedJob{id, j.progress.EndedMS})
		return true
	}
	if j.progress.State == workload.Active {
		o.active[id] = j
		o.computePlan(j)
	} else {
		o.ended = append(o.ended, endedJob{id, j.progress.EndedMS})
	}
	j.progress.EachPlaced(func(ref workload.TaskRef, t *workload.Task) { o.adoptRun(j, ref, t) })
	return true
}

// check returns the first reason why recorded parts of a job cannot be used. A malformed record must not end the
// process: each successor would read it again.
func (j *job) check() error {
	if j.spec == nil {
		return nil // adoptJob handles it
	}
	if err := j.spec.Validate(); err != nil {
		return err
	}
	if j.progress == nil {
		return nil
	}
	return j.progress.Check(j.spec)
}

// Run processes events until the term ends and returns the cause of its end. A panic of the event loop ends the term,
// not the process, which goes on as an entry.
func (o *Owner) Run() (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("event loop failed: %v", cause)
			o.log.Error("term ended by a panic", "cause", cause, "stack", string(debug.Stack()))
		}
		o.cancel(err)
	}()
	go o.followWorkers()
	go o.followOperator()
	if o.cfg.Control != nil {
		go o.followInstances()
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case event := <-o.events:
			event()
			o.runQueuedEvents()
		case <-tick.C:
			o.tick()
		case <-o.ctx.Done():
			return context.Cause(o.ctx)
		}
		// Placements made while no append may begin would only wait for it, so they are made together before the next one.
		// Whether it may is decided once: a job that was placed must not be withdrawn because the append then stalls.
		if now := time.Now(); o.mayAppend(now) {
			if o.replan && o.mayPlace(now) {
				o.replan = false
				o.placeRound(now)
			}
			o.startAppend()
		}
	}
}

// runQueuedEvents runs the queued events, so that their decisions share a placement round and an append.
func (o *Owner) runQueuedEvents() {
	for range eventQueueSize {
		select {
		case event := <-o.events:
			event()
		default:
			return
		}
	}
}

// post queues an event for the event loop and reports false if the term has ended.
func (o *Owner) post(event func()) bool {
	select {
	case o.events <- event:
		return true
	case <-o.ctx.Done():
		return false
	}
}

// stepDown ends the term because a newer owner exists.
func (o *Owner) stepDown(evidence string) {
	o.log.Warn("owner replaced", "evidence", evidence)
	o.cancel(errReplaced)
}

// leading reports whether the owner renewed its own record recently enough to renew the workers' leases.
func (o *Owner) leading() bool { return o.term.Age() < leader.MaxRenewalAge }

func (o *Owner) tick() {
	o.noticePause()
	now := time.Now()
	for _, w := range o.workers {
		o.checkWorkerTimeouts(w, now)
	}
	for _, j := range o.active {
		if !j.spec.IsScheduled() {
			continue
		}
		o.recordUpcoming(j, now)
		if o.createDue(j, now.Add(o.cfg.Timing.EarlyStart/2)) {
			o.replan = true
			if j.progress.Begun { // else a successor creates them as well
				o.markDirty(j)
			}
		}
	}
	if o.appendStalled() {
		o.withdrawUnsent()
		o.rejectHeld()
		if !o.commit.stallReported {
			o.commit.stallReported = true
			o.log.Warn("append stalled", "ms", o.appendAge().Milliseconds())
			o.term.RenewNow() // tells whether the store answers this instance at all
		}
	}
	o.expireJobs(now)
	o.expireEarlyCancels(now)
	o.forgetTickets(now)
	o.updateGauges()
	o.checkEvacuations(now)
	o.tickFleet(now)
	// Some tasks wait for time to pass rather than for an event, such as the end of a worker's backoff.
	if now.Sub(o.lastPlacementTry) > placementRetryInterval {
		o.lastPlacementTry = now
		o.replan = true
	}
}

// expireJobs deletes ended jobs whose status retention has passed.
func (o *Owner) expireJobs(now time.Time) {
	for len(o.ended) > 0 && now.UnixMilli()-o.ended[0].endedMS >
		o.statusRetention().Milliseconds() {
		id := o.ended[0].id
		j := o.jobs[id]
		if j != nil && len(j.progress.Current) > 0 {
			return // one of its runs may still be active on a worker
		}
		o.ended = o.ended[1:]
		if j != nil {
			o.dropJob(j)
			o.queueRecord(topic.Record{Key: progressKeyPrefix + id})
			o.queueRecord(topic.Record{Key: jobKeyPrefix + id})
		}
	}
}

func (o *Owner) updateGauges() {
	established := 0
	for _, w := range o.workers {
		if w.sessionEstablished {
			established++
		}
	}
	o.metrics.workers.Update(float64(established))
	o.updateEvacuationGauges()
	o.updateLimits()
	o.metrics.acceptedBytes.Update(float64(o.accounts.accepted.Used()))
	o.metrics.acceptedHighest.Update(float64(o.accounts.highest))
	o.metrics.begunBytes.Update(float64(o.accounts.begun.Used()))
	o.metrics.startsInFlight.Update(float64(o.accounts.starts))
	o.metrics.active.Update(float64(len(o.active)))
	o.metrics.adviceWaiting.Update(float64(o.advice.queue.Len()))
	o.metrics.advisedSteps.Update(float64(len(o.advice.steps)))
}

// statusRetention returns how long ended jobs, and cancels that came before their jobs, are kept.
func (o *Owner) statusRetention() time.Duration {
	return o.cfg.Timing.StatusRetention + statusRetentionMargin
}

// statusRetentionMargin extends the retention of ended jobs, because clocks may jump.
const statusRetentionMargin = 30 * time.Second

// logOnce logs an unreadable record unless this version of it was logged before.
func (o *Owner) logOnce(name topic.Name, r topic.Record, err error) {
	id := string(name) + "/" + r.Key
	if o.loggedOffsets[id] != r.Offset+1 {
		o.loggedOffsets[id] = r.Offset + 1
		o.log.Warn("record skipped", "topic", name, "key", r.Key, "offset", r.Offset, "err", err)
	}
}
