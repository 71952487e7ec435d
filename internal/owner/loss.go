package owner

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
)

// loss is recorded when a worker becomes unresponsive. It lets a successor expire the worker's runs no later than this
// owner would.
type loss struct {
	Incarnation int64 `cbor:"1,keyasint"`
	// LeaseExpiresInMS is the time from the record until every run on the worker has ended.
	LeaseExpiresInMS int64 `cbor:"2,keyasint"`
}

// lossKeyPrefix is the key prefix of recorded losses.
const lossKeyPrefix = "l/"

// lossRecord is the record of a worker's loss, from when it is queued until its deletion is acknowledged. A successor may
// read it all that time, so the worker gets no lease.
type lossRecord struct {
	deleting bool // the deletion is queued
}

// lossMayBeRead reports whether a successor may read a record of the worker's loss.
func (o *Owner) lossMayBeRead(id string) bool { return o.losses[id] != nil }

// recordLoss records the loss of a worker with runs.
func (o *Owner) recordLoss(w *worker) {
	if len(w.runs) == 0 {
		return
	}
	o.losses[w.info.ID] = &lossRecord{}
	o.queueRecord(topic.Record{Key: lossKeyPrefix + w.info.ID, Value: o.encode(loss{
		Incarnation: w.info.Incarnation, LeaseExpiresInMS: max(0, time.Until(w.leaseUntil).Milliseconds()),
	})})
}

// clearLoss deletes the record of a worker's loss.
func (o *Owner) clearLoss(w *worker) {
	id := w.info.ID
	record := o.losses[id]
	if record == nil || record.deleting {
		return
	}
	record.deleting = true
	o.queueRecord(topic.Record{Key: lossKeyPrefix + id})
	o.afterCommit(func() {
		if o.losses[id] == record { // not recorded again since
			delete(o.losses, id)
		}
	})
}

// loadLoss limits the wait for a worker that an earlier owner lost: its lease was not renewed after the record.
func (o *Owner) loadLoss(id string, r topic.Record) error {
	var l loss
	if err := cbor.Unmarshal(r.Value, &l); err != nil {
		return errors.Trace(err)
	}
	w := o.getOrCreateWorker(id)
	o.losses[id] = &lossRecord{}
	w.info.Incarnation = max(w.info.Incarnation, l.Incarnation)
	if until := o.recoveredAt.Add(time.Duration(l.LeaseExpiresInMS) * time.Millisecond); until.Before(w.leaseUntil) {
		w.leaseUntil = until
	}
	return nil
}
