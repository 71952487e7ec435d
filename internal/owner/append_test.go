package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
)

// Guards large appends on the thinnest link of a machine: 2 MB take 1.6 s with 10 Mbit/s, and up to 0.5 s more in a slow
// store. The limit was 0.8 s for any size, and overlapping attempts shared the link, so that no attempt ended.
func TestAppendTakesAsLongAsTheLinkNeeds(t *testing.T) {
	const (
		thinnestLink = 10e6 / 8 // bytes per second
		limit        = 4 * time.Second
	)
	for _, callTime := range []time.Duration{4 * time.Millisecond, slowStoreCall} {
		t.Run(callTime.String(), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			o := h.newOwner(true)
			o.cfg.Store = &topictest.Paced{Store: h.store, BytesPerSecond: thinnestLink, CallTime: callTime}
			o.cfg.MaxAppendBytes = 2 << 20
			var records []topic.Record
			for i := range 40 {
				records = append(records, topic.Record{Key: fmt.Sprint("w/", i), Value: make([]byte, 50<<10)})
			}
			done := make(chan error, 1)
			go func() { done <- o.append(records) }()
			select {
			case err := <-done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(limit):
				t.Fatalf("not within %v", limit)
			}
		})
	}
}
