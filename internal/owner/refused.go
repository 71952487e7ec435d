package owner

import (
	"slices"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// A record that the store never accepts must hold up no other. Placements are bounded so that the progress of a job fits into
// a record (see roomForPlacements). If one is refused all the same, its job is given up.

// maxKeyBytes is the length of the longest key of a record.
const maxKeyBytes = 255

// errTooLarge rejects a job whose records the store does not accept.
var errTooLarge = &jobs.Rejection{Reason: "the job is too large to be stored", Permanent: true}

// appendPart appends records in one batch. If the store refuses it for good, it appends them in parts and leaves out those
// that are refused alone.
func (o *Owner) appendPart(records []topic.Record) error {
	if len(records) == 1 && !o.fitsRecord(records[0]) {
		o.refuse(records[0], errors.NotValidf("record of %d bytes", recordSize(records[0])))
		return nil
	}
	o.commit.sequence++
	err := o.appendBatch(topic.Batch{Records: records, Producer: o.producer()})
	if !errors.Is(err, topic.ErrInvalid) {
		return err
	}
	o.commit.sequence-- // it was not used
	if half := len(records) / 2; half > 0 {
		if err := o.appendPart(records[:half]); err != nil {
			return err
		}
		return o.appendPart(records[half:])
	}
	// A store that refuses everything is at fault, not the record: the term is confirmed before the record is left out.
	if confirmErr := o.appendBatch(topic.Batch{Producer: o.producer()}); confirmErr != nil {
		return confirmErr
	}
	o.refuse(records[0], err)
	return nil
}

func (o *Owner) fitsRecord(r topic.Record) bool {
	return recordSize(r) <= o.cfg.MaxRecordBytes && len(r.Key) <= maxKeyBytes
}

// refuse notes that a record is left out of the append in flight.
func (o *Owner) refuse(r topic.Record, err error) {
	o.metrics.recordsRefused.Inc(1)
	o.log.Error("record refused for good", "key", r.Key, "bytes", recordSize(r), "err", err)
	o.commit.refused = append(o.commit.refused, r.Key)
}

// takeRefused returns the jobs of an append whose records were refused.
func (o *Owner) takeRefused(dirtyJobs []*job) map[*job]bool {
	refused := map[*job]bool{}
	for _, key := range o.commit.refused {
		for _, j := range dirtyJobs {
			if key == jobKeyPrefix+j.spec.ID || key == progressKeyPrefix+j.spec.ID {
				refused[j] = true
			}
		}
	}
	o.commit.refused = nil
	return refused
}

// giveUpJobs ends the jobs whose records were refused, and returns the effects of their append that may run now. If a job
// was given up, all wait for its end to be recorded, because they may rest on what was not.
func (o *Owner) giveUpJobs(refused map[*job]bool, effects []func()) []func() {
	var rejections []func()
	wait := false
	for j := range refused {
		if j.recordsEndOnly {
			continue // nothing shorter is left to record
		}
		wait = true
		o.loseUnsentRuns(j)
		if j.neverRecorded {
			rejections = append(rejections, o.withdrawRefused(j))
			continue
		}
		o.log.Error("job given up: its progress cannot be recorded", "job", j.spec.ID)
		j.recordsEndOnly = true
		if j.progress.Fail() {
			o.endJob(j)
		}
		o.markDirty(j)
	}
	if !wait {
		return effects
	}
	o.commit.effects = append(append(rejections, effects...), o.commit.effects...)
	return nil
}

// loseUnsentRuns ends the runs of a job whose starts wait for a record.
func (o *Owner) loseUnsentRuns(j *job) {
	j.progress.EachPlaced(func(ref workload.TaskRef, t *workload.Task) {
		w := o.workers[t.Worker]
		if w == nil {
			return
		}
		if p := w.runs[workload.TaskName(j.spec.ID, ref)]; p != nil && !p.startSent && !p.adopted {
			o.loseRun(w, p, workload.NeverStarted, "its placement cannot be recorded")
		}
	})
}

// withdrawRefused removes a new job and returns the effect that rejects it.
func (o *Owner) withdrawRefused(j *job) func() {
	id, submissions := j.spec.ID, j.submissions
	j.submissions = nil
	o.dropJob(j)
	o.commit.dirtyJobs = slices.DeleteFunc(o.commit.dirtyJobs, func(other *job) bool { return other == j })
	o.queueRecord(topic.Record{Key: jobKeyPrefix + id})
	o.queueRecord(topic.Record{Key: progressKeyPrefix + id})
	o.metrics.rejected.Inc(1)
	o.log.Info("job rejected", "job", id, "reason", errTooLarge.Reason)
	return func() {
		for _, r := range submissions {
			r.send(errTooLarge)
		}
	}
}

// roomForPlacements returns how many bytes further placements may add to the record of a job's progress.
func (o *Owner) roomForPlacements(j *job) int {
	limit := o.cfg.MaxRecordBytes - recordSize(topic.Record{Key: progressKeyPrefix + j.spec.ID})
	if room := limit - j.progress.MaxRecordBytes(); room >= 0 {
		return limit // however its tasks are placed
	}
	return limit - j.progress.RecordBytes()
}

// endOnly returns the progress of a job that was given up, without its tasks.
func endOnly(p *workload.Progress) *workload.Progress {
	return &workload.Progress{State: p.State, EndedMS: p.EndedMS, Begun: p.Begun, StartUnconfirmed: p.StartUnconfirmed,
		Organisation: p.Organisation, Queue: p.Queue}
}
