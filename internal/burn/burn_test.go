package burn

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func testDefinitions() map[string]Definition {
	return map[string]Definition{
		"quick-answers": {Queue: "quick", Target: 0.99, LatencyMS: 300, WindowHours: 720},
		"desk":          {Organisation: "desk", Target: 0.9, LatencyMS: 1000, WindowHours: 24},
	}
}

func newRecorder() *Recorder { return NewRecorder(testDefinitions) }

// newSampleRecorder observes 1,000 requests, of which 10 may be bad: 5 slow ones two hours ago, 10 failed ones now.
func newSampleRecorder() (*Recorder, time.Time) {
	r := newRecorder()
	early, now := start, start.Add(2*time.Hour)
	for i := range 500 {
		latency := 100 * time.Millisecond
		if i < 5 {
			latency = 400 * time.Millisecond
		}
		r.Observe("quick", "desk", true, latency, early)
	}
	for i := range 500 {
		r.Observe("quick", "planning", i >= 10, 100*time.Millisecond, now)
	}
	return r, now
}

// Guards rates computed by hand: over 720 h 15 of 1,000 requests are bad and 10 allowed, so the budget is overspent by
// half. In the last hour 10 of 500 are bad, twice the allowed rate. The objective of organisation desk covers only the
// early requests, and the slow ones are within its latency.
func TestBurnRates(t *testing.T) {
	r, now := newSampleRecorder()
	report := r.Report("entry-1", now)
	desk, quick := report.Objectives[0], report.Objectives[1]
	expectNear := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", what, got, want)
		}
	}
	expectNear("budget left", quick.BudgetLeft, -0.5)
	for i, want := range []float64{2, 2, 2, 1.5, 1.5, 1.5} {
		expectNear(quick.Windows[i].Length()+" burn rate", quick.Windows[i].BurnRate, want)
	}
	expectNear("organisation's budget left", desk.BudgetLeft, 1)
	if got := desk.Windows[5]; got.Good != 500 || got.Bad != 0 {
		t.Errorf("the organisation's window counts %d good and %d bad", got.Good, got.Bad)
	}
	if BurnRate(Bucket{}, 0.99) != 0 {
		t.Error("burn rate without requests is not 0")
	}
}

// Guards against windows that drop requests too early or too late: a window contains every request younger than 71/72
// of its length and none older than its length.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ring{window: rapid.SampledFrom(fixedWindows).Draw(t, "window")}
		now := start
		var requestTimes []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(r.window/4)).Draw(t, "gap")))
			r.add(Bucket{Good: 1}, now)
			requestTimes = append(requestTimes, now)
			atLeast, atMost := uint64(0), uint64(0)
			for _, at := range requestTimes {
				if now.Sub(at) < r.window/ringBuckets*(ringBuckets-1) {
					atLeast++
				}
				if now.Sub(at) < r.window {
					atMost++
				}
			}
			if got := r.sum(now).Good; got < atLeast || got > atMost {
				t.Fatalf("window has %d requests, want %d to %d", got, atLeast, atMost)
			}
		}
	})
}

// Guards against a merged report that counts an entry instance twice, omits one, or keeps the rates of the first.
func TestMergedReports(t *testing.T) {
	var merged Report
	for i, entry := range []string{"e2", "e1"} {
		r := newRecorder()
		r.Observe("quick", "desk", i == 0, 0, start)
		if report := r.Report(entry, start); i == 0 {
			merged = report
		} else {
			merged.Merge(report)
		}
	}
	quick := merged.Objectives[1]
	if got := quick.Windows[4]; got.Good != 1 || got.Bad != 1 || math.Abs(got.BurnRate-50) > 1e-9 {
		t.Errorf("counted %+v, want a good and a bad one at 50 times the allowed rate", got)
	}
	if math.Abs(quick.BudgetLeft+49) > 1e-9 {
		t.Errorf("budget left %v, want -49", quick.BudgetLeft)
	}
	if last := quick.History[len(quick.History)-1]; last != (Bucket{1, 1}) {
		t.Errorf("history ends with %+v", last)
	}
	if !slices.Equal(merged.Members, []string{"e1", "e2"}) {
		t.Errorf("members %v", merged.Members)
	}
}

// Guards against a changed objective that inherits the counters of the previous one with the same name.
func TestChangedWindowResetsCounters(t *testing.T) {
	current := testDefinitions()
	r := NewRecorder(func() map[string]Definition { return current })
	r.Observe("quick", "", false, 0, start)
	changed := testDefinitions()
	d := changed["quick-answers"]
	d.WindowHours = 1
	changed["quick-answers"] = d
	current = changed
	if got := r.Report("e", start).Objectives[1].BudgetLeft; got != 1 {
		t.Errorf("budget left %v, want 1", got)
	}
}

// Guards the report formats. The golden files were checked against the values computed by hand.
func TestGoldenReports(t *testing.T) {
	r, now := newSampleRecorder()
	report := r.Report("entry-1", now)
	report.Members, report.Missing = []string{"entry-1", "entry-2"}, []string{"entry-3"}
	g := goldie.New(t)
	var text, page bytes.Buffer
	if err := errors.Join(report.WriteText(&text), report.WriteHTML(&page)); err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	g.Assert(t, "report.txt", text.Bytes())
	g.Assert(t, "report.html", page.Bytes())
	g.Assert(t, "report.json", data)
}
