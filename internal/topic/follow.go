package topic

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/wait"
)

// Follower reads a keyed topic continuously: a snapshot first, then the appended records.
type Follower struct {
	Store Store
	Topic Name
	// PollTimeout is how long a read waits for new records.
	PollTimeout time.Duration
	// MinInterval, if set, is the minimum time between two reads. It bounds the call rate on a constantly changing topic.
	MinInterval time.Duration
	// OnSnapshot receives the latest record of every key, at the start and after a gap caused by retention. It and OnRecords
	// also receive the records that could not be read.
	OnSnapshot func(records []Record)
	// OnRecords receives the records appended since. A call without records shows that the store is responding.
	OnRecords func(records []Record, end int64)
	// OnError receives the errors of failed calls. A panic of a callback is one: its records are not delivered again.
	OnError func(err error)
	Log     hclog.Logger
}

// Exponential backoff of a follower after failed calls. The first retry comes well within every time limit of the
// platform; the maximum is a tenth of the shortest of these limits (2 s).
const (
	followMinBackoff = 25 * time.Millisecond
	followMaxBackoff = 200 * time.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	nextOffset := int64(-1)
	backoff := followMinBackoff
	var failingSince time.Time
	for ctx.Err() == nil {
		start, snapshot := time.Now(), nextOffset < 0
		err := f.step(ctx, &nextOffset)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			f.OnError(err)
			if failingSince.IsZero() {
				failingSince = start
				f.Log.Warn("topic cannot be read", "topic", f.Topic, "snapshot", snapshot, "err", err)
			}
			if errors.Is(err, ErrOutOfRetention) {
				nextOffset = -1
			}
			if !wait.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, followMaxBackoff)
			continue
		}
		if !snapshot { // a snapshot succeeds also while each read after it is out of retention
			backoff = followMinBackoff
			if !failingSince.IsZero() {
				f.Log.Info("topic can be read again", "topic", f.Topic, "after_ms", time.Since(failingSince).Milliseconds())
				failingSince = time.Time{}
			}
		}
		if remaining := f.MinInterval - time.Since(start); remaining > 0 && !wait.For(ctx, remaining) {
			return
		}
	}
}

func (f *Follower) step(ctx context.Context, nextOffset *int64) (err error) {
	defer guard.Recover(f.Log, "follow "+string(f.Topic), &err)
	if *nextOffset < 0 {
		records, end, err := readSnapshot(ctx, f.Store, f.Topic)
		if err != nil {
			return err
		}
		*nextOffset = end
		f.OnSnapshot(records)
		return nil
	}
	result, err := f.Store.Read(ctx, f.Topic, *nextOffset, f.PollTimeout)
	if err != nil {
		return err
	}
	if n := len(result.Records); n > 0 {
		*nextOffset = result.Records[n-1].Offset + 1
	}
	f.OnRecords(result.Records, result.End)
	return nil
}
