// Package topic defines the log store that holds the state of the job service: append-only partitions, some of which
// also retain the latest record of each key indefinitely.
package topic

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store. After any other error the outcome is unknown: the call may have been applied, or may still be
// applied if its condition holds.
const (
	// ErrNotApplied means that the store rejected the call without effect.
	ErrNotApplied = errors.ConstError("the store did nothing")
	// ErrInvalid means that the store rejects the call without effect whenever it is repeated.
	ErrInvalid = errors.ConstError("the store never accepts the call")
	// ErrFenced means that a producer with a higher epoch has written to the partition.
	ErrFenced = errors.ConstError("fenced by a producer with a higher epoch")
	// ErrOffsetMismatch means that the partition does not end at the expected offset of the append.
	ErrOffsetMismatch = errors.ConstError("end of the partition differs from the expected offset")
	// ErrOutOfSequence means that the producer's sequence number does not follow the last one.
	ErrOutOfSequence = errors.ConstError("producer sequence number out of order")
	// ErrReadOnly means that this system may not write to the topic.
	ErrReadOnly = errors.ConstError("the topic is read-only for this system")
	// ErrOutOfRetention means that the requested records are no longer retained.
	ErrOutOfRetention = errors.ConstError("requested offset is no longer retained")
)

// Name identifies partition 0 of a topic.
type Name string

// Record is one record of a keyed topic.
type Record struct {
	Key string
	// Value is nil if the record deletes its key, and empty if the record could not be read.
	Value  []byte
	Offset int64
	// Err is why the record could not be read; nil if it was. Its key may be missing then.
	Err error
}

// Producer identifies a writer whose appends are fenced and numbered.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence numbers the appends of the epoch without gaps. Repeating a number returns the original response.
	Sequence int64
}

// Batch is one atomic append.
type Batch struct {
	Records []Record
	// ExpectedEnd, if not nil, is the offset that the partition must end at.
	ExpectedEnd *int64
	// Producer, if not nil, fences producers of lower epochs. Without records the call only raises the epoch.
	Producer *Producer
}

// ReadResult is the result of reading a partition from an offset.
type ReadResult struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
}

// Store is a log store. Its methods are safe for concurrent use; each makes one call, which ends in bounded time also if
// the store does not answer and ctx has no deadline.
type Store interface {
	// Append returns the offset of the first appended record and the end of the partition.
	Append(ctx context.Context, name Name, batch Batch) (offset, end int64, err error)
	// Read returns the records from an offset on. If there are none, it waits up to wait for one to arrive.
	Read(ctx context.Context, name Name, from int64, wait time.Duration) (ReadResult, error)
	// SnapshotPage returns a page of the latest records by key, the key to continue after ("" on the last page) and the
	// end of the partition.
	SnapshotPage(ctx context.Context, name Name, after string) (page []Record, next string, end int64, err error)
}

// ReadSnapshot returns the latest record of each key and the end of the partition as of the first page. A reader that
// continues from that offset misses no record. A record that cannot be read is an error.
func ReadSnapshot(ctx context.Context, store Store, name Name) ([]Record, int64, error) {
	records, end, err := readSnapshot(ctx, store, name)
	if err != nil {
		return nil, 0, err
	}
	if err := firstUnreadable(records); err != nil {
		return nil, 0, err
	}
	return records, end, nil
}

// ReadOddSnapshot is ReadSnapshot for a reader that can do without some of the records: those that cannot be read have an
// error.
func ReadOddSnapshot(ctx context.Context, store Store, name Name) ([]Record, int64, error) {
	return readSnapshot(ctx, store, name)
}

// firstUnreadable returns the error of the first record that cannot be read, or nil.
func firstUnreadable(records []Record) error {
	for _, r := range records {
		if r.Err != nil {
			return errors.Annotatef(r.Err, "record with key %q at offset %d", r.Key, r.Offset)
		}
	}
	return nil
}

// readSnapshot is ReadSnapshot, and includes records that cannot be read.
func readSnapshot(ctx context.Context, store Store, name Name) ([]Record, int64, error) {
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
