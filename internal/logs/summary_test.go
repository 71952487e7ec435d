package logs

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a line for each event of a crowd, against events that no line counts, and against a reason that hides
// another one.
func TestSummaryCountsEachReason(t *testing.T) {
	var s Summary
	lines, counted := map[string]int{}, map[string]int{}
	for i := range 2501 {
		for reason, every := range map[string]int{"often": 1, "rare": 1250} {
			if i%every != 0 {
				continue
			}
			if n, log := s.Note(reason, time.UnixMilli(int64(1_000_000+i))); log {
				lines[reason]++
				counted[reason] += n
			}
		}
	}
	if lines["often"] != 3 || counted["often"] != 2001 || lines["rare"] != 3 || counted["rare"] != 3 {
		t.Errorf("lines %v for events %v, want 3 for 2001 and 3 for 3", lines, counted)
	}
}

// Guards against reasons that fill the memory because they contain what callers sent.
func TestSummaryBoundsItsReasons(t *testing.T) {
	var s Summary
	for i := range 10_000 {
		s.Note(fmt.Sprint("reason ", i), time.Unix(1, 0))
	}
	if n := len(s.reasons); n > maxReasons+1 {
		t.Errorf("%d reasons kept, want at most %d and the others together", n, maxReasons)
	}
}
