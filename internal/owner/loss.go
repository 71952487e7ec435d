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

func (o *Owner) recordLoss(w *worker) {
	if len(w.runs) == 0 {
		return
	}
	w.lossRecorded = true
	o.queueRecord(topic.Record{Key: lossKeyPrefix + w.info.ID, Value: o.encode(loss{
		Incarnation: w.info.Incarnation, LeaseExpiresInMS: max(0, time.Until(w.leaseUntil).Milliseconds()),
	})})
}

// clearLoss deletes the record of a worker's loss.
func (o *Owner) clearLoss(w *worker) {
	if w.lossRecorded {
		w.lossRecorded = false
		o.queueRecord(topic.Record{Key: lossKeyPrefix + w.info.ID})
	}
}

// loadLoss limits the wait for a worker that an earlier owner lost: its lease was not renewed after the record.
func (o *Owner) loadLoss(id string, r topic.Record) error {
	var l loss
	if err := cbor.Unmarshal(r.Value, &l); err != nil {
		return errors.Trace(err)
	}
	w := o.getOrCreateWorker(id)
	w.lossRecorded = true
	w.info.Incarnation = max(w.info.Incarnation, l.Incarnation)
	if until := o.recoveredAt.Add(time.Duration(l.LeaseExpiresInMS) * time.Millisecond); until.Before(w.leaseUntil) {
		w.leaseUntil = until
	}
	return nil
}
