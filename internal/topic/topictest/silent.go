package topictest

import (
	"context"
	"sync/atomic"

	"github.com/pollenford/pollenford/internal/topic"
)

// SilentAppends leaves appends without an answer while it is on; one sent meanwhile stays unanswered also afterwards, like
// a call whose packets were lost. Other calls go to the Store.
type SilentAppends struct {
	topic.Store
	On atomic.Bool
	// Unanswered counts the appends without an answer.
	Unanswered atomic.Int64
}

// Append implements topic.Store.
func (s *SilentAppends) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	if s.On.Load() {
		s.Unanswered.Add(1)
		<-ctx.Done()
		return 0, 0, ctx.Err()
	}
	return s.Store.Append(ctx, name, batch)
}
