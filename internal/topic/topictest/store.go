// Package topictest provides an in-memory topic.Store with fault injection.
package topictest

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
)

// errNoResponse is returned when the response of an append is lost.
const errNoResponse = errors.ConstError("no response")

// repeatableAppends is how many of a producer's last appends can be repeated with the same result, as the platform
// specifies.
const repeatableAppends = 5

// maxKeyBytes is the length of the longest key, as the platform specifies.
const maxKeyBytes = 255

// Store is an in-memory log store. The zero value is ready for use.
type Store struct {
	// MaxRecordBytes limits key and value of a record; 0 is no limit.
	MaxRecordBytes int
	// PageRecords is the number of records in a page of a snapshot, defaultPageRecords if 0.
	PageRecords int

	mu     sync.Mutex
	topics map[topic.Name]*partition // protected by mu
	faults Faults                    // protected by mu
	calls  int                       // protected by mu
}

// Faults are the faults injected into subsequent calls.
type Faults struct {
	// Down rejects every call without effect.
	Down bool
	// LoseAnswers is the number of appends that are applied but return no response.
	LoseAnswers int
}

type partition struct {
	records     []topic.Record
	firstOffset int64 // offset of the first retained record
	end         int64
	latest      map[string]topic.Record
	producers   map[string]*producer
	appended    chan struct{} // closed when a record is appended
}

type producer struct {
	epoch, sequence int64
	started         bool
	recentResults   []appendResult // of the last repeatableAppends appends
}

type appendResult struct{ sequence, offset, end int64 }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends one record unconditionally, as operators and workers do.
func (s *Store) Put(name topic.Name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(name).append([]topic.Record{{Key: key, Value: value}})
}

// Compact removes the records of a topic but retains the latest of each key in snapshots.
func (s *Store) Compact(name topic.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	p.records, p.firstOffset = nil, p.end
}

func (s *Store) partition(name topic.Name) *partition {
	if s.topics == nil {
		s.topics = map[topic.Name]*partition{}
	}
	p := s.topics[name]
	if p == nil {
		p = &partition{latest: map[string]topic.Record{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = p
	}
	return p
}

func (p *partition) append(records []topic.Record) int64 {
	offset := p.end
	for _, r := range records {
		r.Offset = p.end
		p.end++
		p.records = append(p.records, r)
		if r.Value == nil {
			delete(p.latest, r.Key)
		} else {
			p.latest[r.Key] = r
		}
	}
	close(p.appended)
	p.appended = make(chan struct{})
	return offset
}

// beginCall counts a call and returns the error with which it must fail, if any.
func (s *Store) beginCall(ctx context.Context) error {
	s.calls++
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.faults.Down {
		return errors.Annotate(topic.ErrNotApplied, "the store is down")
	}
	return nil
}

// Append implements topic.Store.
func (s *Store) Append(ctx context.Context, name topic.Name, batch topic.Batch) (int64, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx); err != nil {
		return 0, 0, err
	}
	for _, r := range batch.Records {
		if len(r.Key) > maxKeyBytes {
			return 0, 0, errors.Annotatef(topic.ErrInvalid, "record key of %d bytes", len(r.Key))
		}
		if n := len(r.Key) + len(r.Value); s.MaxRecordBytes > 0 && n > s.MaxRecordBytes {
			return 0, 0, errors.Annotatef(topic.ErrInvalid, "record of %d bytes", n)
		}
	}
	offset, end, err := s.partition(name).apply(batch)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, 0, errNoResponse
	}
	return offset, end, err
}

func (p *partition) apply(batch topic.Batch) (int64, int64, error) {
	if batch.Producer == nil {
		if batch.ExpectedEnd != nil && *batch.ExpectedEnd != p.end {
			return 0, 0, topic.ErrOffsetMismatch
		}
		offset := p.append(batch.Records)
		return offset, p.end, nil
	}
	state := p.producers[batch.Producer.Name]
	if state == nil {
		state = &producer{}
		p.producers[batch.Producer.Name] = state
	}
	switch {
	case batch.Producer.Epoch < state.epoch:
		return 0, 0, topic.ErrFenced
	case batch.Producer.Epoch > state.epoch:
		*state = producer{epoch: batch.Producer.Epoch}
	}
	if len(batch.Records) == 0 {
		return p.end, p.end, nil
	}
	for _, a := range state.recentResults {
		if a.sequence == batch.Producer.Sequence {
			return a.offset, a.end, nil
		}
	}
	if state.started && batch.Producer.Sequence != state.sequence+1 {
		return 0, 0, topic.ErrOutOfSequence
	}
	state.started, state.sequence = true, batch.Producer.Sequence
	offset := p.append(batch.Records)
	state.recentResults = append(state.recentResults, appendResult{state.sequence, offset, p.end})
	if len(state.recentResults) > repeatableAppends {
		state.recentResults = state.recentResults[1:]
	}
	return offset, p.end, nil
}

// Read implements topic.Store.
func (s *Store) Read(ctx context.Context, name topic.Name, from int64, wait time.Duration) (topic.ReadResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if err := s.beginCall(ctx); err != nil {
			s.mu.Unlock()
			return topic.ReadResult{}, err
		}
		p := s.partition(name)
		appended := p.appended
		if from < p.firstOffset {
			s.mu.Unlock()
			return topic.ReadResult{}, topic.ErrOutOfRetention
		}
		if from < p.end {
			result := topic.ReadResult{Records: slices.Clone(p.records[from-p.firstOffset:]), End: p.end}
			s.mu.Unlock()
			return result, nil
		}
		end := p.end
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timer.C:
			return topic.ReadResult{End: end}, nil
		case <-ctx.Done():
			return topic.ReadResult{}, ctx.Err()
		}
	}
}

// defaultPageRecords is small to make tests read several pages.
const defaultPageRecords = 20

// SnapshotPage implements topic.Store.
func (s *Store) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.beginCall(ctx); err != nil {
		return nil, "", 0, err
	}
	p := s.partition(name)
	var keys []string
	for key := range p.latest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	pageSize := cmp.Or(s.PageRecords, defaultPageRecords)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	page := make([]topic.Record, len(keys))
	for i, key := range keys {
		page[i] = p.latest[key]
	}
	if more {
		return page, keys[len(keys)-1], p.end, nil
	}
	return page, "", p.end, nil
}
