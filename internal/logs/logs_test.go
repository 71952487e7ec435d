package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer // protected by mu
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Guards the work against a log that nobody reads: writing never waits, and what is dropped is counted and reported.
func TestStuckOutputNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = Burst + 2*queued
	began := time.Now()
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("writing took %v", took)
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped although nothing could be written")
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.got.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, `"log lines dropped","count":`) {
		t.Errorf("the output lacks the first line or the count: %.200s", text)
	}
}

// Guards the last lines of a process.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	for i := range 100 {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
	if n := strings.Count(out.String(), "\n"); n != 100 {
		t.Errorf("%d lines, want 100", n)
	}
}
