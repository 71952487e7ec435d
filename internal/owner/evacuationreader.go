package owner

import (
	"context"
	"time"

	"github.com/pollenford/pollenford/internal/directory"
	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic"
)

// evacuationReader passes on the calls of one follower of the operators' topic. Evacuations has what a call returned, and
// when it was sent, before the follower gets the result.
type evacuationReader struct {
	topic.Store
	codec directory.Codec
	into  *Evacuations
	// snapshot is what the pages so far contained, if one is being read.
	snapshot operatorRecords
}

// Reader returns the store for one follower of the operators' topic.
func (e *Evacuations) Reader(store topic.Store, codec directory.Codec) topic.Store {
	return &evacuationReader{Store: store, codec: codec, into: e}
}

// Read implements topic.Store.
func (r *evacuationReader) Read(ctx context.Context, name topic.Name, from int64, wait time.Duration) (topic.ReadResult, error) {
	sent := leader.BootTime()
	result, err := r.Store.Read(ctx, name, from, wait)
	if err != nil {
		return result, err
	}
	read := operatorRecords{end: from, asOf: sent}
	if n := len(result.Records); n > 0 {
		read.end = result.Records[n-1].Offset + 1
		if read.end < result.End {
			read.asOf = 0
		}
	} else if leader.BootTime()-sent >= wait {
		read.asOf = sent + wait // the store has waited for a record that long
	}
	r.decode(&read, result.Records)
	r.into.append(read)
	return result, nil
}

// SnapshotPage implements topic.Store.
func (r *evacuationReader) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	sent := leader.BootTime()
	page, next, end, err := r.Store.SnapshotPage(ctx, name, after)
	if err != nil {
		return page, next, end, err
	}
	if after == "" {
		r.snapshot = operatorRecords{end: end, asOf: sent}
	}
	r.decode(&r.snapshot, page)
	if next == "" {
		r.into.replace(r.snapshot)
	}
	return page, next, end, nil
}

func (r *evacuationReader) decode(into *operatorRecords, records []topic.Record) {
	for _, record := range records {
		if record.Key == "" {
			into.unreadableKeys = true
		}
		if record.Key == r.codec.ConfigKey() {
			continue // large, and decoded by the follower's callback
		}
		if decoded, err := r.codec.DecodeOperator(record); err == nil && decoded.Evacuation != nil {
			into.add(decoded.Evacuation, record.Offset)
		}
	}
}
