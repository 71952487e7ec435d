package topic_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
)

// Guards against a process that ends because a follower panics on a record, and against one that never gets past it.
func TestFollowerSkipsRecordsThatPanic(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	store := &topictest.Store{}
	store.Put("topic", "first", []byte("1"))
	var seen []string
	var failure error
	f := &topic.Follower{
		Store: store, Topic: "topic", PollTimeout: 20 * time.Millisecond, Log: hclog.NewNullLogger(),
		OnSnapshot: func([]topic.Record) {
			store.Put("topic", "bad", []byte("2"))
			panic("malformed snapshot")
		},
		OnRecords: func(records []topic.Record, _ int64) {
			for _, r := range records {
				seen = append(seen, r.Key)
			}
			if slices.Equal(seen, []string{"bad"}) {
				store.Put("topic", "good", []byte("3"))
				panic("malformed record")
			}
			if slices.Equal(seen, []string{"bad", "good"}) {
				cancel()
			}
		},
		OnError: func(err error) { failure = err },
	}
	f.Run(ctx)
	if !slices.Equal(seen, []string{"bad", "good"}) || !errors.Is(failure, guard.ErrPanic) {
		t.Errorf("seen %v, last error %v; want both records and an error for the panic", seen, failure)
	}
}
