package topic

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/wait"
)

// Follower reads a keyed topic for as long as it runs.
type Follower struct {
	Store Store
	Topic Name
	// PollTimeout is how long a read waits for a record.
	PollTimeout time.Duration
	// MinInterval, if set, is the least time between two reads, which bounds the calls for a topic that changes all the time.
	MinInterval time.Duration
	// OnSnapshot receives the newest record of every key: at the start, and when records were missed.
	OnSnapshot func(records []Record)
	// OnRecords receives what was appended since; it may be called without records, which tells that the store answers.
	OnRecords func(records []Record, end int64)
	// OnError receives failed calls.
	OnError func(err error)
}

// Backoff of a follower after a failed call, doubled up to the maximum. The minimum lets the first repetition arrive
// before any bound of the platform's rules is used up; the maximum is a tenth of the shortest of them (2 s).
const (
	followMinBackoff = 25 * time.Millisecond
	followMaxBackoff = 200 * time.Millisecond
	// callTimeout bounds a call beyond the time that it may wait: 100 times the store's usual answer.
	callTimeout = 400 * time.Millisecond
)

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next := int64(-1)
	backoff := followMinBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx, &next)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			f.OnError(err)
			if errors.Is(err, ErrOutOfRetention) {
				next = -1
				continue
			}
			if !wait.For(ctx, backoff) {
				return
			}
			backoff = min(2*backoff, followMaxBackoff)
			continue
		}
		backoff = followMinBackoff
		if rest := f.MinInterval - time.Since(began); rest > 0 && !wait.For(ctx, rest) {
			return
		}
	}
}

func (f *Follower) step(ctx context.Context, next *int64) error {
	if *next < 0 {
		records, end, err := ReadSnapshot(ctx, f.Store, f.Topic)
		if err != nil {
			return err
		}
		*next = end
		f.OnSnapshot(records)
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, f.PollTimeout+callTimeout)
	defer cancel()
	tail, err := f.Store.Read(callCtx, f.Topic, *next, f.PollTimeout)
	if err != nil {
		return err
	}
	if n := len(tail.Records); n > 0 {
		*next = tail.Records[n-1].Offset + 1
	}
	f.OnRecords(tail.Records, tail.End)
	return nil
}
