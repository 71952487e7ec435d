package ingress

import (
	"testing"
	"time"
)

// Guards against ending a slow but steady body, and against keeping one that brings single bytes.
func TestPaceSeparatesSteadyFromStalled(t *testing.T) {
	pace := Pace{MinBytes: 4096, Window: 3 * time.Second, Limit: 20 * time.Second}
	for _, c := range []struct {
		name           string
		bytesPerSecond float64
		pieces         int
		endsAfter      time.Duration // 0: never before the limit
	}{
		{"a fair share of the thinnest link", 1389, 64, 0},
		{"a whole body within 3 s", 87_382, 4096, 0},
		{"a byte a second", 1, 1, 3 * time.Second},
		{"a third of the rate", 455, 64, 3 * time.Second},
	} {
		p := newPacer(pace, epoch)
		now, ended := epoch, time.Duration(0)
		for received := int64(0); now.Sub(epoch) < 19*time.Second && received < 262_144; received += int64(c.pieces) {
			now = now.Add(time.Duration(float64(c.pieces) / c.bytesPerSecond * float64(time.Second)))
			if now.After(p.deadline()) {
				ended = p.deadline().Sub(epoch)
				break
			}
			p.add(int64(c.pieces), now)
		}
		if ended != c.endsAfter {
			t.Errorf("%s: ended after %v, want %v", c.name, ended, c.endsAfter)
		}
	}
}

// Guards against a body that makes just enough progress for ever.
func TestBodyEndsAtItsLimit(t *testing.T) {
	p := newPacer(Pace{MinBytes: 10, Window: time.Second, Limit: 5 * time.Second}, epoch)
	for s := 0.5; s < 5; s += 0.5 {
		p.add(10, at(s))
	}
	if got := p.deadline(); !got.Equal(at(5)) {
		t.Errorf("deadline %v after the start, want 5s", got.Sub(epoch))
	}
}

// Guards against buffers that trust a declared length: 2 GB declared and nothing sent must not take 2 GB.
func TestBufferFollowsWhatArrived(t *testing.T) {
	size := int64(0)
	for received := int64(0); received < 262_144; received++ {
		if received < size {
			continue
		}
		if size = nextSize(size, 2<<30); size > max(firstBytes, 2*received) {
			t.Fatalf("buffer of %d bytes after %d", size, received)
		}
	}
	if got := nextSize(131_072, 262_144); got != 262_144 {
		t.Errorf("buffer of %d bytes, want 262144", got)
	}
	if got := nextSize(262_144, 262_144); got != 262_145 {
		t.Errorf("buffer of %d bytes for a whole body, want one byte for its end", got)
	}
}

// Guards against default limits without room for the largest request and the usual connections on the smallest instance,
// and against more connections than descriptors.
func TestDefaultLimits(t *testing.T) {
	smallest := DefaultLimits(184, 4100)
	if room, need := smallest.MemoryBytes/8, int64(262_145+131_072); room < need {
		t.Errorf("room of %d bytes for bodies, the largest needs %d", room, need)
	}
	if room, need := smallest.MemoryBytes/4, int64(3*262_144+4001*(800+48)); room < need {
		t.Errorf("room of %d bytes to decode, the largest job needs %d", room, need)
	}
	if smallest.Connections < 600 {
		t.Errorf("%d connections, want 40 a second that stay open for 15 s", smallest.Connections)
	}
	for _, c := range []struct{ memory, fds int }{{184, 4100}, {536, 8192}, {96, 600}, {0, 0}, {96, 250}, {0, 4096}} {
		l := DefaultLimits(c.memory, c.fds)
		if c.fds > 0 && l.Connections > max(minConnections, int64(c.fds)-fileDescriptors) || l.Connections < minConnections {
			t.Errorf("%+v: %d connections", c, l.Connections)
		}
	}
	if got := connections(4100); got != 1000 {
		t.Errorf("%d connections of 4100 descriptors, want 1000", got)
	}
}
