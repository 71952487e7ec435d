package logs

import (
	"sync"
	"time"
)

const (
	// SummaryInterval is the time between two lines of a Summary about the same reason.
	SummaryInterval = time.Second
	// maxReasons bounds the reasons that a Summary tells apart. Others are counted together.
	maxReasons   = 64
	otherReasons = "other reasons"
)

// Summary decides which of many similar events are logged: the first, and then one a second for each reason with the number
// of events since the last line. The zero value is ready for use.
type Summary struct {
	mu      sync.Mutex
	reasons map[string]*reasonCount // protected by mu
}

type reasonCount struct {
	last    time.Time
	pending int // events since the last line
}

// Note counts an event and reports whether to log it, with the number of events for its reason since the last line.
func (s *Summary) Note(reason string, now time.Time) (n int, log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reasons == nil {
		s.reasons = map[string]*reasonCount{}
	}
	r := s.reasons[reason]
	if r == nil && len(s.reasons) >= maxReasons {
		reason = otherReasons
		r = s.reasons[reason]
	}
	if r == nil {
		r = &reasonCount{}
		s.reasons[reason] = r
	}
	r.pending++
	if !r.last.IsZero() && now.Sub(r.last) < SummaryInterval {
		return 0, false
	}
	n, r.pending, r.last = r.pending, 0, now
	return n, true
}
