package owner

import (
	"context"
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
)

// A store that is slow but works takes a third of a second for an append. Decisions that wait for it then keep capacity idle
// for longer than a short task runs, so further appends begin beside it. Their sequence numbers make the store apply them in
// order, whatever order they arrive in, and their effects run in that order as well.
const (
	// slowAppendTime is the duration from which the store counts as slow. It is well above that of usual appends (4 to 20 ms),
	// so that a store that falls silent finds one append in flight, and what waits behind it can be withdrawn.
	slowAppendTime = 100 * time.Millisecond
	// maxFlights bounds the appends in flight. The store repeats its answer for a producer's last five appends only.
	maxFlights = 3
)

// flight is an append without an answer.
type flight struct {
	records   []topic.Record
	dirtyJobs []*job
	statuses  []jobs.Status // of dirtyJobs
	effects   []func()
	held      []*heldCall
	pauses    int // of the event loop when it began
	began     time.Time
	// shared reports that it was given a sequence number when it began, so that it is sent beside others.
	shared   bool
	sequence int64
	// first is closed once no other append in flight precedes it.
	first    chan struct{}
	answered bool
}

// mayAppend reports whether an append may begin now. Beside others it may only if the store is slow, answers, and has
// taken an append with records of this term: it takes the first sequence number of a term as it comes.
func (o *Owner) mayAppend(now time.Time) bool {
	c := &o.commit
	if !c.inFlight {
		return true
	}
	last := c.flights[len(c.flights)-1]
	return last.shared && c.latency >= slowAppendTime && len(c.flights) < maxFlights && !o.appendStalled() &&
		now.Sub(last.began) >= c.latency/maxFlights
}

// takeDecisions returns the pending decisions as an append.
func (o *Owner) takeDecisions() *flight {
	c := &o.commit
	f := &flight{records: c.records, dirtyJobs: c.dirtyJobs, effects: c.effects}
	c.records, c.dirtyJobs, c.effects = nil, nil, nil
	f.statuses = make([]jobs.Status, len(f.dirtyJobs))
	for i, j := range f.dirtyJobs {
		j.dirty = false
		f.records = o.appendJob(f.records, j)
		f.statuses[i] = j.status()
	}
	return f
}

// send starts an append.
func (o *Owner) send(f *flight) {
	c := &o.commit
	f.held, c.held = c.held, nil
	o.noticePause() // the append confirms the term after it
	f.pauses, f.began = o.pauses, time.Now()
	if len(f.records) == 0 {
		c.lastConfirmation = f.began
	}
	f.first = make(chan struct{})
	if !c.inFlight {
		close(f.first)
		c.waitingSince, c.stallReported = f.began, false
	}
	call := o.appendAlone
	if f.shared = o.mayShare(f.records); f.shared {
		c.sequence++
		f.sequence = c.sequence
		call = o.appendShared
	}
	c.flights, c.inFlight = append(c.flights, f), true
	go func() {
		if err := call(f); err != nil {
			o.cancel(err)
			return
		}
		took := time.Since(f.began)
		o.metrics.appendLatency.RecordDuration(took)
		o.post(func() {
			if f.answered = true; len(f.records) > 0 {
				c.latency = took
			}
			o.finishFlights()
		})
	}()
}

// mayShare reports whether an append of records may be in flight beside others: the store is slow, and the records make one
// batch that it is not known to refuse. The store knows a producer's last five batches only, and a refused one leaves a gap.
func (o *Owner) mayShare(records []topic.Record) bool {
	return o.commit.latency >= slowAppendTime && len(records) > 0 && len(o.split(records)) == 1 &&
		!slices.ContainsFunc(records, func(r topic.Record) bool { return !o.fitsRecord(r) })
}

// appendAlone appends records once no other append in flight precedes them.
func (o *Owner) appendAlone(f *flight) error {
	select {
	case <-f.first:
		return o.append(f.records)
	case <-o.ctx.Done():
		return context.Cause(o.ctx)
	}
}

// appendShared appends records under the sequence number that was given to them. A batch that the store never accepts ends
// the term, because later appends follow it: a successor knows only what was recorded before.
func (o *Owner) appendShared(f *flight) error {
	producer := &topic.Producer{Name: ownerProducer, Epoch: o.term.Fence, Sequence: f.sequence}
	return o.appendBatch(topic.Batch{Records: f.records, Producer: producer})
}

// finishFlights applies the answered appends that no unanswered one precedes.
func (o *Owner) finishFlights() {
	o.recheckEvacuations()
	c := &o.commit
	for len(c.flights) > 0 && c.flights[0].answered {
		f := c.flights[0]
		c.flights = c.flights[1:]
		c.inFlight = len(c.flights) > 0
		c.waitingSince, c.stallReported = time.Now(), false
		o.finish(f)
		if c.inFlight {
			close(c.flights[0].first)
		}
	}
}

func (o *Owner) finish(f *flight) {
	refused := o.takeRefused(f.dirtyJobs)
	for i, j := range f.dirtyJobs {
		j.unrecordedChanges--
		if refused[j] && !j.recordsEndOnly {
			continue
		}
		j.neverRecorded, j.submissions = false, nil
		j.recordedStatus = f.statuses[i]
		j.notifyWaiters()
		o.forgetSpec(j)
	}
	runAll(o.giveUpJobs(refused, f.effects))
	o.releaseHeld(f)
}
