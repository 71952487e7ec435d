// Package topictest is an in-memory topic.Store with the faults of a real one.
package topictest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
)

// errNoAnswer is what a caller sees when an answer is lost.
const errNoAnswer = errors.ConstError("no answer")

// repeatable is how many of a producer's last appends are answered again, as the platform states it.
const repeatable = 5

// Store is a log store in memory. The zero value is ready for use.
type Store struct {
	mu     sync.Mutex
	topics map[topic.Name]*partition // protected by mu
	faults Faults                    // protected by mu
	calls  int                       // protected by mu
}

// Faults are what goes wrong with calls from now on.
type Faults struct {
	// Down refuses every call; nothing is done.
	Down bool
	// LoseAnswers carries out so many appends without answering them.
	LoseAnswers int
}

type partition struct {
	records   []topic.Record
	first     int64 // offset of the first retained record
	end       int64
	newest    map[string]topic.Record
	producers map[string]*producer
	grown     chan struct{} // closed when a record is appended
}

type producer struct {
	epoch, sequence int64
	started         bool
	answers         []answer // of the last appends
}

type answer struct{ sequence, offset, end int64 }

// SetFaults replaces the faults.
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

// Put appends one record without a condition, as operators and workers do.
func (s *Store) Put(name topic.Name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(name).append([]topic.Record{{Key: key, Value: value}})
}

// Compact drops the records of a topic but keeps the newest of each key.
func (s *Store) Compact(name topic.Name) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(name)
	p.records, p.first = nil, p.end
}

func (s *Store) partition(name topic.Name) *partition {
	if s.topics == nil {
		s.topics = map[topic.Name]*partition{}
	}
	p := s.topics[name]
	if p == nil {
		p = &partition{newest: map[string]topic.Record{}, producers: map[string]*producer{}, grown: make(chan struct{})}
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
			delete(p.newest, r.Key)
		} else {
			p.newest[r.Key] = r
		}
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return offset
}

// begin counts a call and returns why it fails, if it does.
func (s *Store) begin(ctx context.Context) error {
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
	if err := s.begin(ctx); err != nil {
		return 0, 0, err
	}
	offset, end, err := s.partition(name).carryOut(batch)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, 0, errNoAnswer
	}
	return offset, end, err
}

func (p *partition) carryOut(batch topic.Batch) (int64, int64, error) {
	if batch.Producer == nil {
		if batch.ExpectedEnd != nil && *batch.ExpectedEnd != p.end {
			return 0, 0, topic.ErrOffsetMismatch
		}
		offset := p.append(batch.Records)
		return offset, p.end, nil
	}
	by := p.producers[batch.Producer.Name]
	if by == nil {
		by = &producer{}
		p.producers[batch.Producer.Name] = by
	}
	switch {
	case batch.Producer.Epoch < by.epoch:
		return 0, 0, topic.ErrFenced
	case batch.Producer.Epoch > by.epoch:
		*by = producer{epoch: batch.Producer.Epoch}
	}
	if len(batch.Records) == 0 {
		return p.end, p.end, nil
	}
	for _, a := range by.answers {
		if a.sequence == batch.Producer.Sequence {
			return a.offset, a.end, nil
		}
	}
	if by.started && batch.Producer.Sequence != by.sequence+1 {
		return 0, 0, topic.ErrOutOfSequence
	}
	by.started, by.sequence = true, batch.Producer.Sequence
	offset := p.append(batch.Records)
	by.answers = append(by.answers, answer{by.sequence, offset, p.end})
	if len(by.answers) > repeatable {
		by.answers = by.answers[1:]
	}
	return offset, p.end, nil
}

// Read implements topic.Store.
func (s *Store) Read(ctx context.Context, name topic.Name, from int64, wait time.Duration) (topic.ReadResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if err := s.begin(ctx); err != nil {
			s.mu.Unlock()
			return topic.ReadResult{}, err
		}
		p := s.partition(name)
		grown := p.grown
		if from < p.first {
			s.mu.Unlock()
			return topic.ReadResult{}, topic.ErrOutOfRetention
		}
		if from < p.end {
			tail := topic.ReadResult{Records: slices.Clone(p.records[from-p.first:]), End: p.end}
			s.mu.Unlock()
			return tail, nil
		}
		end := p.end
		s.mu.Unlock()
		select {
		case <-grown:
		case <-timer.C:
			return topic.ReadResult{End: end}, nil
		case <-ctx.Done():
			return topic.ReadResult{}, ctx.Err()
		}
	}
}

// pageSize is small, so that tests read several pages.
const pageSize = 20

// SnapshotPage implements topic.Store.
func (s *Store) SnapshotPage(ctx context.Context, name topic.Name, after string) ([]topic.Record, string, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin(ctx); err != nil {
		return nil, "", 0, err
	}
	p := s.partition(name)
	var keys []string
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageSize
	if more {
		keys = keys[:pageSize]
	}
	page := make([]topic.Record, len(keys))
	for i, key := range keys {
		page[i] = p.newest[key]
	}
	if more {
		return page, keys[len(keys)-1], p.end, nil
	}
	return page, "", p.end, nil
}
