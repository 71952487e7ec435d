package owner

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// committer batches decisions into appends. Decisions made while no further append may begin go into the next one. The
// effects of a decision run after the append that records it and all earlier ones.
type committer struct {
	dirtyJobs []*job
	records   []topic.Record
	effects   []func()
	// flights are the appends without an answer, the oldest first; inFlight reports whether there are any.
	flights  []*flight
	inFlight bool
	// held are calls that wait for the next append (see confirm.go).
	held             []*heldCall
	lastConfirmation time.Time // when the last append without records began
	// confirmedPauses is the number of pauses after which an append was sent that succeeded.
	confirmedPauses int
	// refused are the keys of the records that the store refused for good. Only the goroutine of the append in flight
	// changes it, and the event loop when that has ended.
	refused []string
	// sequence numbers the appends of a term. Only the goroutine of an append that is alone in flight changes it, or the
	// event loop while none is.
	sequence int64
	// waitingSince is when the oldest append in flight began or the last one was answered, whichever is later, and later by
	// the pauses of the event loop since; stallReported that the appends were found to have stalled.
	waitingSince  time.Time
	stallReported bool
	// latency is how long the last answered append with records took; 0 before the first one.
	latency time.Duration
}

// markDirty adds a changed job to the next append.
func (o *Owner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		j.unrecordedChanges++
		o.commit.dirtyJobs = append(o.commit.dirtyJobs, j)
	}
}

// queueRecord adds a record to the next append.
func (o *Owner) queueRecord(r topic.Record) { o.commit.records = append(o.commit.records, r) }

// afterCommit runs an effect once all decisions made so far are recorded.
func (o *Owner) afterCommit(effect func()) { o.commit.effects = append(o.commit.effects, effect) }

// appendAge returns how long the store has not answered an append in flight, without pauses of the event loop; 0 without one.
func (o *Owner) appendAge() time.Duration {
	if !o.commit.inFlight {
		return 0
	}
	return time.Since(o.commit.waitingSince)
}

// appendStalled reports whether the store has not answered for so long that nothing new should wait for it.
func (o *Owner) appendStalled() bool { return o.appendAge() > storeStallLimit }

// flush starts an append of the pending decisions if one may begin.
func (o *Owner) flush() {
	if o.mayAppend(time.Now()) {
		o.startAppend()
	}
}

// startAppend starts an append of the pending decisions. One without records confirms the term.
func (o *Owner) startAppend() {
	c := &o.commit
	decisions := len(c.dirtyJobs) + len(c.records) + len(c.effects)
	if decisions+len(c.held) == 0 {
		return
	}
	if decisions == 0 && (c.inFlight || time.Since(c.lastConfirmation) < confirmInterval) {
		return // a tick comes soon
	}
	f := o.takeDecisions()
	switch {
	case len(f.records) > 0 || !c.inFlight && len(c.held) > 0:
		o.send(f)
	case c.inFlight:
		last := c.flights[len(c.flights)-1]
		last.effects = append(last.effects, f.effects...)
	default:
		runAll(f.effects)
	}
}

func runAll(effects []func()) {
	for _, effect := range effects {
		effect()
	}
}

// appendJob appends the records of a job's current state. The specification is deleted once no run can need it.
func (o *Owner) appendJob(records []topic.Record, j *job) []topic.Record {
	id := j.spec.ID
	finished := j.progress.State != workload.Active && len(j.progress.Current) == 0
	first := !j.specWritten && !finished
	if first {
		j.specWritten = true
		records = append(records, topic.Record{Key: jobKeyPrefix + id, Value: o.encode(j.spec)})
	}
	if !first || j.progress.Begun || j.progress.State != workload.Active { // a successor derives the rest from the specification
		records = append(records, o.progressRecord(j))
	}
	if finished && !j.specDeleted {
		j.specDeleted = true
		records = append(records, topic.Record{Key: jobKeyPrefix + id})
	}
	return records
}

// progressRecord returns the record of a job's progress. Checkpoints have no limit of their own; those that do not fit into a
// record are left out, so that a successor starts their tasks anew, instead of failing the append for all jobs.
func (o *Owner) progressRecord(j *job) topic.Record {
	r := topic.Record{Key: progressKeyPrefix + j.spec.ID, Value: o.encode(j.progress)}
	progress := j.progress
	if j.recordsEndOnly {
		progress = endOnly(progress)
		r.Value = o.encode(progress)
	}
	if recordSize(r) > o.cfg.MaxRecordBytes {
		progress = progress.WithoutIdleWorkers()
		r.Value = o.encode(progress)
	}
	if excess := recordSize(r) - o.cfg.MaxRecordBytes; excess > 0 {
		r.Value = o.encode(progress.WithoutCheckpoints(excess))
		o.metrics.checkpointsOmitted.Inc(1)
		o.log.Warn("checkpoints not recorded: the progress of the job is too large", "job", j.spec.ID, "excess_bytes", excess)
	}
	return r
}

// encode returns v in CBOR. It panics on an error, because every recorded type can be encoded.
func (o *Owner) encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// append writes records to the store, split into batches of at most MaxAppendBytes. Without records it only confirms that
// no successor has fenced this owner.
func (o *Owner) append(records []topic.Record) error {
	if len(records) == 0 {
		return o.appendBatch(topic.Batch{Producer: o.producer()})
	}
	for _, part := range o.split(records) {
		if err := o.appendPart(part); err != nil {
			return err
		}
	}
	return nil
}

// split returns records in batches of at most MaxAppendBytes.
func (o *Owner) split(records []topic.Record) (batches [][]topic.Record) {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+recordSize(records[n]) <= o.cfg.MaxAppendBytes) {
			size += recordSize(records[n])
			n++
		}
		batches = append(batches, records[:n])
		records = records[n:]
	}
	return batches
}

const (
	// appendRetryAfter is how long the first attempt to append goes unanswered before another one begins beside it, and
	// appendRetryInterval the time between later ones. A slow store takes up to half a second for a large append; it works on
	// a repeated append as long as on any other, so that a needless one delays the next.
	appendRetryAfter    = 700 * time.Millisecond
	appendRetryInterval = 300 * time.Millisecond
	maxAppendAttempts   = 3 // in flight at a time
)

// appendBatch appends a batch. A store that is back after an outage answers a new attempt at once, but not one that was
// sent during the outage, so attempts overlap. They share the link, so their limits grow with the size of the batch. The
// batch's sequence number makes a repeated append harmless.
func (o *Owner) appendBatch(batch topic.Batch) error {
	ctx, stop := context.WithCancel(o.ctx)
	defer stop()
	results := make(chan error, maxAppendAttempts)
	transfer := transferTime(batchSize(batch), linkBytesPerSecond)
	inFlight := 0
	attempt := func() {
		inFlight++
		go func() {
			callCtx, stopCall := context.WithTimeout(ctx, storeTimeout+transfer)
			defer stopCall()
			_, _, err := o.cfg.Store.Append(callCtx, jobsTopic, batch)
			results <- err
		}()
	}
	retry := time.NewTimer(appendRetryAfter + transfer)
	defer retry.Stop()
	for attempt(); ; {
		select {
		case err := <-results:
			inFlight--
			switch {
			case err == nil:
				return nil
			case errors.Is(err, topic.ErrFenced):
				return errReplaced
			case errors.Is(err, topic.ErrInvalid) && len(batch.Records) > 0 && inFlight == 0:
				return err
			}
			o.log.Warn("store call failed", "call", "append decisions", "err", err)
			if inFlight == 0 {
				retry.Reset(storeRetryDelay)
			}
		case <-retry.C:
			if inFlight < maxAppendAttempts {
				attempt()
			}
			retry.Reset(appendRetryInterval + transfer)
		case <-ctx.Done():
			return context.Cause(o.ctx)
		}
	}
}

// recordSize returns the size of a record in an append: 4 bytes for its length, 1 for the key's length, key and value.
func recordSize(r topic.Record) int { return 4 + 1 + len(r.Key) + len(r.Value) }

func batchSize(batch topic.Batch) (n int) {
	for _, r := range batch.Records {
		n += recordSize(r)
	}
	return n
}
