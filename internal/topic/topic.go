// Package topic defines the log store that the job service keeps its state in: append-only partitions, some of which
// also keep the newest record of each key for ever.
package topic

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store. Any other error means that the outcome is unknown: the call may have been carried out, or may be
// carried out later if its condition still holds.
const (
	// ErrNotApplied means that the store refused the call and did nothing.
	ErrNotApplied = errors.ConstError("the store did nothing")
	// ErrFenced means that a producer with a higher epoch has written to the partition.
	ErrFenced = errors.ConstError("fenced by a newer producer")
	// ErrOffsetMismatch means that the partition does not end where the append expected it to.
	ErrOffsetMismatch = errors.ConstError("the partition has moved on")
	// ErrOutOfSequence means that the producer's sequence number does not follow the last one.
	ErrOutOfSequence = errors.ConstError("unexpected sequence number")
	// ErrOutOfRetention means that the records asked for are no longer retained.
	ErrOutOfRetention = errors.ConstError("records have expired")
)

// Name identifies partition 0 of a topic.
type Name string

// Record is one record of a keyed topic.
type Record struct {
	Key string
	// Value is nil when the record drops its key.
	Value  []byte
	Offset int64
}

// Producer fences the appends of one writer.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of the epoch without gaps. A repeated number returns the first response.
	Sequence int64
}

// Batch is one append, carried out whole or not at all.
type Batch struct {
	Records []Record
	// ExpectedEnd, if not nil, is the offset that the partition must end at.
	ExpectedEnd *int64
	// Producer, if not nil, fences older writers. Without records the call only raises the epoch.
	Producer *Producer
}

// ReadResult is the result of reading a partition from an offset.
type ReadResult struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
}

// Store is a log store. Its methods are safe for concurrent use and each makes one call.
type Store interface {
	// Append returns the offset of the first record and the end of the partition.
	Append(ctx context.Context, name Name, batch Batch) (offset, end int64, err error)
	// Read returns the records from an offset on. It waits up to wait for one to arrive.
	Read(ctx context.Context, name Name, from int64, wait time.Duration) (ReadResult, error)
	// SnapshotPage returns a page of the newest record of each key, the key to continue after ("" at the end) and the end.
	SnapshotPage(ctx context.Context, name Name, after string) (page []Record, next string, end int64, err error)
}

// ReadSnapshot returns the newest record of each key and an end of the partition from before the first page, from which a
// reader continues without missing a record.
func ReadSnapshot(ctx context.Context, store Store, name Name) ([]Record, int64, error) {
	var all []Record
	var end int64
	after := ""
	for first := true; ; first = false {
		page, next, pageEnd, err := store.SnapshotPage(ctx, name, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			end = pageEnd
		}
		all = append(all, page...)
		if next == "" {
			return all, end, nil
		}
		after = next
	}
}
