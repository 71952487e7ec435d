package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer // protected by mu
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against a blocked output that stalls Write or loses the count of dropped lines.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = BurstLines + 2*queueLines
	start := time.Now()
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("writing took %v", elapsed)
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped although nothing could be written")
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	if !strings.Contains(text, "line 0\n") || !strings.Contains(text, `"log lines dropped","count":`) {
		t.Errorf("the output lacks the first line or the count: %.200s", text)
	}
}

// Guards against losing the last lines of a process.
func TestCloseWritesQueuedLines(t *testing.T) {
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

// Guards against lines with long addresses that wait for a slow output and fill the memory.
func TestQueuedBytesAreBounded(t *testing.T) {
	release := make(chan struct{})
	w := NewWriter(&blockedWriter{release: release})
	line := []byte(strings.Repeat("x", 14_000) + "\n")
	for range 2 * queueBytes / len(line) {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if queued := w.queued.Load(); queued > queueBytes {
		t.Errorf("%d bytes queued, limit %d", queued, queueBytes)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(release)
	w.Close()
	if queued := w.queued.Load(); queued != 0 {
		t.Errorf("%d bytes count as queued after all were written", queued)
	}
}
