package owner

import (
	"context"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
)

// maxStatusesPerAppend bounds an append to the status topic: a successor publishes every wave that it reads.
const maxStatusesPerAppend = 1000

// statusPublisher appends the states of waves to the status topic, one append at a time and in order. The sequence number
// and the epoch of the term keep a late append from replacing a newer state.
type statusPublisher struct {
	pending  []topic.Record
	inFlight bool
	// sequence numbers the appends of a term to the status topic.
	sequence int64
}

// publishWaveStatus queues the recorded state of a wave for the status topic, which operators read.
func (o *Owner) publishWaveStatus(w *wave) {
	p := &o.fleet.statuses
	p.pending = append(p.pending, o.cfg.Codec.EncodeWaveStatus(w.Number, w.completionRecorded))
	o.flushStatuses()
}

// flushStatuses starts an append of the pending states unless one is in flight. The first one of a term raises the epoch.
func (o *Owner) flushStatuses() {
	p := &o.fleet.statuses
	if p.inFlight || len(p.pending) == 0 {
		return
	}
	n := min(len(p.pending), maxStatusesPerAppend)
	batch := topic.Batch{Records: p.pending[:n]}
	p.pending = p.pending[n:]
	p.inFlight = true
	p.sequence++
	batch.Producer = &topic.Producer{Name: ownerProducer, Epoch: o.term.Fence, Sequence: p.sequence}
	go func() {
		err := o.retryStore("publish maintenance wave status", func(ctx context.Context) error {
			_, _, err := o.cfg.Store.Append(ctx, o.cfg.Codec.StatusTopic(), batch)
			return err
		})
		switch {
		case errors.Is(err, errReplaced):
			o.stepDown("the status topic has accepted a newer owner")
		case err != nil:
			o.log.Info("maintenance wave status not published", "err", err)
		default:
			o.post(func() {
				p.inFlight = false
				o.flushStatuses()
			})
		}
	}()
}
