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

func definitions() map[string]Definition {
	return map[string]Definition{
		"quick-answers": {Queue: "quick", Target: 0.99, LatencyMS: 300, WindowHours: 720},
		"desk":          {Organisation: "desk", Target: 0.9, LatencyMS: 1000, WindowHours: 24},
	}
}

func newRecorder() *Recorder { return NewRecorder(definitions) }

// sample observes 1,000 requests of queue quick: 5 slow ones two hours ago, 10 failed ones now. The objective allows 10.
func sample() (*Recorder, time.Time) {
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

// Hand-worked: 15 of 1,000 are bad in the window of 720 h, which allows 10, so the budget is overspent by a half. Of the
// last hour 10 of 500 are bad: twice the allowed rate. The slow requests are within the bound of the organisation's objective,
// and only the early ones are of that organisation.
func TestHandWorkedBurn(t *testing.T) {
	r, now := sample()
	report := r.Report("entry-1", now)
	desk, quick := report.Objectives[0], report.Objectives[1]
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", what, got, want)
		}
	}
	near("budget left", quick.BudgetLeft, -0.5)
	for i, want := range []float64{2, 2, 2, 1.5, 1.5, 1.5} {
		near(quick.Windows[i].Length()+" burn rate", quick.Windows[i].BurnRate, want)
	}
	near("organisation's budget left", desk.BudgetLeft, 1)
	if got := desk.Windows[5]; got.Good != 500 || got.Bad != 0 {
		t.Errorf("the organisation's window counts %d good and %d bad", got.Good, got.Bad)
	}
	if BurnRate(Bucket{}, 0.99) != 0 {
		t.Error("burn without requests")
	}
}

// Guards against windows that forget or keep too much: a window contains everything that is younger than 71 of its 72
// parts and nothing that is older than the window.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := ring{window: rapid.SampledFrom(fixedWindows).Draw(t, "window")}
		now := start
		var seen []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(r.window/4)).Draw(t, "gap")))
			r.add(Bucket{Good: 1}, now)
			seen = append(seen, now)
			least, most := uint64(0), uint64(0)
			for _, at := range seen {
				if now.Sub(at) < r.window/ringBuckets*(ringBuckets-1) {
					least++
				}
				if now.Sub(at) < r.window {
					most++
				}
			}
			if got := r.sum(now).Good; got < least || got > most {
				t.Fatalf("window has %d requests, want %d to %d", got, least, most)
			}
		}
	})
}

// Guards against a report of several entry instances that counts one twice, forgets one, or leaves the rates of the
// first.
func TestMergedReports(t *testing.T) {
	var all Report
	for i, entry := range []string{"e2", "e1"} {
		r := newRecorder()
		r.Observe("quick", "desk", i == 0, 0, start)
		if report := r.Report(entry, start); i == 0 {
			all = report
		} else {
			all.Merge(report)
		}
	}
	quick := all.Objectives[1]
	if got := quick.Windows[4]; got.Good != 1 || got.Bad != 1 || math.Abs(got.BurnRate-50) > 1e-9 {
		t.Errorf("counted %+v, want a good and a bad one at 50 times the allowed rate", got)
	}
	if math.Abs(quick.BudgetLeft+49) > 1e-9 {
		t.Errorf("budget left %v, want -49", quick.BudgetLeft)
	}
	if last := quick.History[len(quick.History)-1]; last != (Bucket{1, 1}) {
		t.Errorf("history ends with %+v", last)
	}
	if !slices.Equal(all.Members, []string{"e1", "e2"}) {
		t.Errorf("members %v", all.Members)
	}
}

// Guards against counters that outlive their objective and count for a new one of the same name.
func TestChangedObjectiveStartsAnew(t *testing.T) {
	current := definitions()
	r := NewRecorder(func() map[string]Definition { return current })
	r.Observe("quick", "", false, 0, start)
	changed := definitions()
	d := changed["quick-answers"]
	d.WindowHours = 1
	changed["quick-answers"] = d
	current = changed
	if got := r.Report("e", start).Objectives[1].BudgetLeft; got != 1 {
		t.Errorf("budget left %v, want 1", got)
	}
}

// Guards the forms of the report. The golden files were read against the hand-worked figures.
func TestGoldenReports(t *testing.T) {
	r, now := sample()
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
