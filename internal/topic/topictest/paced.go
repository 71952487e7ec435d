package topictest

import (
	"context"
	"sync"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
)

// Paced is a Store behind a link of limited bandwidth, which concurrent calls share.
type Paced struct {
	topic.Store
	BytesPerSecond float64
	CallTime       time.Duration // of the store itself

	mu        sync.Mutex
	busyUntil time.Time // protected by mu
}

// Size of messages, as the platform encodes them: snapshots in JSON with base64, appends in binary.
const (
	recordOverheadBytes = 60
	chunkTime           = 2 * time.Millisecond
	// maxTimerDelay is how late a timer may be without lowering the bandwidth.
	maxTimerDelay = 10 * time.Millisecond
)

// Append implements topic.Store.
func (p *Paced) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	size := 0
	for _, r := range batch.Records {
		size += len(r.Key) + len(r.Value)
	}
	if err := p.transfer(ctx, size); err != nil {
		return 0, 0, err
	}
	return p.Store.Append(ctx, name, batch)
}

// SnapshotPage implements topic.Store.
func (p *Paced) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	page, next, end, err := p.Store.SnapshotPage(ctx, name, after)
	size := 0
	for _, r := range page {
		size += len(r.Key) + len(r.Value)*4/3 + recordOverheadBytes
	}
	if err == nil {
		err = p.transfer(ctx, size)
	}
	return page, next, end, err
}

// transfer waits until the store has worked on a call and the link has carried a message, in chunks.
func (p *Paced) transfer(ctx context.Context, bytes int) error {
	if !wait.For(ctx, p.CallTime) {
		return ctx.Err()
	}
	for left := time.Duration(float64(bytes) / p.BytesPerSecond * float64(time.Second)); left > 0; left -= chunkTime {
		if !wait.Until(ctx, p.reserve(min(left, chunkTime))) {
			return ctx.Err()
		}
	}
	return nil
}

// reserve returns when the link has carried a chunk.
func (p *Paced) reserve(chunk time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle := time.Now().Add(-maxTimerDelay); p.busyUntil.Before(idle) {
		p.busyUntil = idle
	}
	p.busyUntil = p.busyUntil.Add(chunk)
	return p.busyUntil
}
