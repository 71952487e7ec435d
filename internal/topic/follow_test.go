package topic_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/guard"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/wait"
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

// slowStore answers a read after a while, unless its caller gives up.
type slowStore struct {
	topic.Store
	answerTime time.Duration
}

func (s *slowStore) Read(ctx context.Context, name topic.Name, from int64, poll time.Duration) (topic.ReadResult, error) {
	if !wait.For(ctx, s.answerTime) {
		return topic.ReadResult{}, ctx.Err()
	}
	return s.Store.Read(ctx, name, from, poll)
}

// Guards against a follower that gives up on every answer of a slow store (0.5 s), or on a page of 1 MB on the thinnest
// link (10 Mbit/s), and so never gets past it.
func TestFollowerAwaitsASlowStore(t *testing.T) {
	const answerTime = 500*time.Millisecond + 840*time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	store := &topictest.Store{}
	var seen []string
	f := &topic.Follower{
		Store: &slowStore{store, answerTime}, Topic: "topic", Log: hclog.NewNullLogger(),
		OnSnapshot: func([]topic.Record) { store.Put("topic", "first", []byte("1")) },
		OnRecords: func(records []topic.Record, _ int64) {
			for _, r := range records {
				seen = append(seen, r.Key)
			}
			cancel()
		},
		OnError: func(err error) { t.Log(err) },
	}
	f.Run(ctx)
	if !slices.Equal(seen, []string{"first"}) {
		t.Errorf("seen %v, want the first record", seen)
	}
}

// forgetfulStore has deleted the records after each snapshot before they are read.
type forgetfulStore struct {
	topic.Store
	snapshots atomic.Int64
}

func (s *forgetfulStore) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	s.snapshots.Add(1)
	return s.Store.SnapshotPage(ctx, name, after)
}

func (s *forgetfulStore) Read(context.Context, topic.Name, int64, time.Duration) (topic.ReadResult, error) {
	return topic.ReadResult{}, topic.ErrOutOfRetention
}

// Guards against a follower that uses up the calls to the store of all instances because it reads again without a pause
// when its offset is no longer retained.
func TestFollowerPausesAfterAGap(t *testing.T) {
	const (
		length = time.Second
		most   = 10 // pauses of 25, 50, 100 and then 200 ms leave room for 7 in a second
	)
	ctx, cancel := context.WithTimeout(t.Context(), length)
	defer cancel()
	store := &forgetfulStore{Store: &topictest.Store{}}
	f := &topic.Follower{
		Store: store, Topic: "topic", Log: hclog.NewNullLogger(),
		OnSnapshot: func([]topic.Record) {}, OnRecords: func([]topic.Record, int64) {}, OnError: func(error) {},
	}
	f.Run(ctx)
	if n := store.snapshots.Load(); n < 2 || n > most {
		t.Errorf("%d snapshots in %v, want 2 to %d", n, length, most)
	}
}

// failingStore fails its first calls.
type failingStore struct {
	topic.Store
	failures int
}

func (s *failingStore) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	if s.failures--; s.failures >= 0 {
		return nil, "", 0, errors.New("no response")
	}
	return s.Store.SnapshotPage(ctx, name, after)
}

// A follower that cannot read its topic says so in one line, and in one more when it can again. Without them the log of an
// instance that is not ready for want of a configuration does not tell why.
func TestFollowerLogsWhenItsTopicCannotBeRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var output strings.Builder
	log := hclog.New(&hclog.LoggerOptions{Output: &output})
	store := &topictest.Store{}
	f := &topic.Follower{
		Store: &failingStore{store, 3}, Topic: "topic", PollTimeout: 20 * time.Millisecond, Log: log,
		OnSnapshot: func([]topic.Record) { store.Put("topic", "key", []byte("1")) },
		OnRecords: func(records []topic.Record, _ int64) {
			if len(records) == 0 { // the read before has ended
				cancel()
			}
		},
		OnError: func(error) {},
	}
	f.Run(ctx)
	for _, line := range []string{"topic cannot be read: topic=topic snapshot=true", "topic can be read again: topic=topic after_ms="} {
		if n := strings.Count(output.String(), line); n != 1 {
			t.Errorf("%d lines %q, want 1:\n%s", n, line, output.String())
		}
	}
}
