package topic_test

import (
	"context"
	"testing"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
)

// unreadablePage returns a page with a record that cannot be read.
type unreadablePage struct{ topictest.Store }

func (*unreadablePage) SnapshotPage(context.Context, topic.Name, string) ([]topic.Record, string, int64, error) {
	return []topic.Record{{Key: "a", Value: []byte{}, Err: errors.NotValidf("record")}}, "", 1, nil
}

// Guards against a job that counts as deleted because its record could not be read: a page with such a record is not added.
func TestPagedSnapshotRejectsUnreadableRecords(t *testing.T) {
	var s topic.PagedSnapshot
	if page, err := s.ReadNext(&unreadablePage{}, "topic")(t.Context()); err == nil {
		t.Errorf("read %+v, want an error", page)
	}
}
