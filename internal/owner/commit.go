package owner

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// committer collects decisions and appends them, one append at a time. What arises while one is in flight shares the
// next. Effects that depend on a decision run after the append that records it.
type committer struct {
	dirty    []*job
	records  []topic.Record
	effects  []func()
	inFlight bool
	// sequence numbers appends within the fence. It is used by the goroutine of the append in flight.
	sequence int64
	// appendStarted is when the append in flight began.
	appendStarted time.Time
}

// markDirty queues a job for the next append.
func (o *Owner) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		j.unrecordedChanges++
		o.commit.dirty = append(o.commit.dirty, j)
	}
}

// queueRecord queues a queueRecord for the next append.
func (o *Owner) queueRecord(r topic.Record) { o.commit.records = append(o.commit.records, r) }

// afterCommit runs an effect once everything decided so far is recorded.
func (o *Owner) afterCommit(effect func()) { o.commit.effects = append(o.commit.effects, effect) }

// appendAge returns how long the append in flight has been waiting.
func (o *Owner) appendAge() time.Duration {
	if !o.commit.inFlight {
		return 0
	}
	return time.Since(o.commit.appendStarted)
}

// flush starts an append of what was decided, unless one is in flight.
func (o *Owner) flush() {
	c := &o.commit
	if c.inFlight || len(c.dirty)+len(c.records)+len(c.effects) == 0 {
		return
	}
	records, saved, effects := c.records, c.dirty, c.effects
	c.records, c.dirty, c.effects = nil, nil, nil
	statuses := make([]jobs.Status, len(saved))
	for i, j := range saved {
		j.dirty = false
		records = o.appendJob(records, j)
		statuses[i] = j.status()
	}
	if len(records) == 0 {
		runAll(effects)
		return
	}
	c.inFlight = true
	c.appendStarted = time.Now()
	go func() {
		if err := o.append(records); err != nil {
			o.cancel(err)
			return
		}
		o.metrics.appendLatency.RecordDuration(time.Since(c.appendStarted))
		o.post(func() {
			c.inFlight = false
			for i, j := range saved {
				j.unrecordedChanges--
				j.neverRecorded = false
				j.recordedStatus = statuses[i]
				j.notifyWaiters()
			}
			runAll(effects)
		})
	}()
}

func runAll(effects []func()) {
	for _, effect := range effects {
		effect()
	}
}

// appendJob adds the records of a job's present state.
func (o *Owner) appendJob(records []topic.Record, j *job) []topic.Record {
	id := j.spec.ID
	over := j.progress.State != workload.Active && len(j.progress.Current) == 0
	if !j.written && !over {
		j.written = true
		records = append(records, topic.Record{Key: jobKeyPrefix + id, Value: o.encode(j.spec)})
	}
	records = append(records, topic.Record{Key: progressKeyPrefix + id, Value: o.encode(j.progress)})
	if over && !j.forgot {
		j.forgot = true
		records = append(records, topic.Record{Key: jobKeyPrefix + id})
	}
	return records
}

// encode panics on an error: the types that are recorded hold nothing that cannot be encoded.
func (o *Owner) encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// append writes records, in several calls if they are too large for one.
func (o *Owner) append(records []topic.Record) error {
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+recordSize(records[n]) <= o.cfg.MaxAppendBytes) {
			size += recordSize(records[n])
			n++
		}
		o.commit.sequence++
		batch := topic.Batch{Records: records[:n], Producer: o.producer()}
		err := o.retryStore("recording decisions", func(ctx context.Context) error {
			_, _, err := o.cfg.Store.Append(ctx, jobsTopic, batch)
			return err
		})
		if err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// recordSize is what a record takes of a call: its length, the length of its key, the key and the value.
func recordSize(r topic.Record) int { return 4 + 1 + len(r.Key) + len(r.Value) }
