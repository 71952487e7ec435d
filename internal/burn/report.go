package burn

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report holds the burn of every service-level objective at one time.
type Report struct {
	At time.Time `json:"at"`
	// Members lists the entry instances whose counters are included, Missing those that did not answer.
	Members []string `json:"members"`
	Missing []string `json:"missing"`
	// Objectives are sorted by name.
	Objectives []Objective `json:"objectives"`
}

// Objective is the burn of one objective.
type Objective struct {
	Name string `json:"name"`
	// Exactly one of Queue and Organisation is set.
	Queue        string `json:"queue"`
	Organisation string `json:"organisation"`
	// Target is the fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// LatencyMS is the maximum latency of a good request in milliseconds.
	LatencyMS   int64 `json:"latency_ms"`
	WindowHours int64 `json:"window_hours"`
	// BudgetLeft is the unused fraction of the error budget, negative if the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// Windows holds the fixed windows, shortest first, then the objective's own.
	Windows []Window `json:"windows"`
	// History holds the buckets of the last day, oldest first.
	History []Bucket `json:"history"`
}

// Window is the burn in one sliding window.
type Window struct {
	// Seconds is the length of the window.
	Seconds int64  `json:"seconds"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
	// BurnRate is the error rate as a multiple of the rate that exhausts the error budget exactly at the end of the
	// objective's window. It is 0 without requests.
	BurnRate float64 `json:"burn_rate"`
}

// Build returns the report of objectives and their counts, both by name.
func Build(objectives map[string]Definition, counts map[string]Counts, at time.Time) Report {
	report := Report{At: at.UTC(), Members: []string{}, Missing: []string{}, Objectives: []Objective{}}
	for _, name := range slices.Sorted(maps.Keys(objectives)) {
		report.Objectives = append(report.Objectives, buildObjective(name, objectives[name], counts[name]))
	}
	return report
}

func buildObjective(name string, definition Definition, counts Counts) Objective {
	out := Objective{
		Name: name, Queue: definition.Queue, Organisation: definition.Organisation, Target: definition.Target,
		LatencyMS: definition.LatencyMS, WindowHours: definition.WindowHours, Windows: []Window{}, History: counts.History,
	}
	if out.History == nil {
		out.History = []Bucket{}
	}
	for i, b := range counts.Windows {
		length := definition.window()
		if i < len(fixedWindows) {
			length = fixedWindows[i]
		}
		out.Windows = append(out.Windows, Window{Seconds: int64(length / time.Second), Good: b.Good, Bad: b.Bad})
	}
	out.updateRates()
	return out
}

// updateRates computes the burn rates and the remaining budget from the counts.
func (o *Objective) updateRates() {
	o.BudgetLeft = 1
	for i := range o.Windows {
		w := &o.Windows[i]
		w.BurnRate = BurnRate(Bucket{w.Good, w.Bad}, o.Target)
		o.BudgetLeft = 1 - w.BurnRate // the last window is the objective's own
	}
}

// Merge adds the counts of another entry instance. Objectives and windows that only one of the reports contains are not
// merged: entry instances may have different settings during a rollout.
func (r *Report) Merge(other Report) {
	r.Members = append(r.Members, other.Members...)
	r.Missing = append(r.Missing, other.Missing...)
	slices.Sort(r.Members)
	slices.Sort(r.Missing)
	for i := range r.Objectives {
		own := &r.Objectives[i]
		for _, theirs := range other.Objectives {
			if theirs.Name == own.Name {
				own.merge(theirs)
			}
		}
	}
}

func (o *Objective) merge(other Objective) {
	for i := range min(len(o.Windows), len(other.Windows)) {
		if o.Windows[i].Seconds == other.Windows[i].Seconds {
			o.Windows[i].Good += other.Windows[i].Good
			o.Windows[i].Bad += other.Windows[i].Bad
		}
	}
	for i := range min(len(o.History), len(other.History)) {
		o.History[i].add(other.History[i])
	}
	o.updateRates()
}

// BurnRate returns the fraction of bad requests divided by the fraction that the target allows. Over the objective's
// own window it is the used fraction of the error budget.
func BurnRate(b Bucket, target float64) float64 {
	total := b.Good + b.Bad
	if total == 0 {
		return 0
	}
	return float64(b.Bad) / float64(total) / (1 - target)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "service-level burn at %s\n", r.At.Format(time.RFC3339))
	fmt.Fprintf(table, "entry instances: %s\n", joinOrNone(r.Members))
	if len(r.Missing) > 0 {
		fmt.Fprintf(table, "not counted, no answer: %s\n", strings.Join(r.Missing, ", "))
	}
	for _, o := range r.Objectives {
		fmt.Fprintf(table, "\n%s: %s, %s good within %d ms over %d h, error budget left %s\n",
			o.Name, o.Scope(), percent(o.Target), o.LatencyMS, o.WindowHours, percent(o.BudgetLeft))
		fmt.Fprintln(table, "WINDOW\tGOOD\tBAD\tBURN RATE")
		for _, window := range o.Windows {
			fmt.Fprintf(table, "%s\t%d\t%d\t%.2f\n", window.Length(), window.Good, window.Bad, window.BurnRate)
		}
	}
	return table.Flush()
}

// Scope returns what the objective covers, such as "queue quick".
func (o Objective) Scope() string {
	if o.Queue != "" {
		return "queue " + o.Queue
	}
	return "organisation " + o.Organisation
}

// Length returns the length of the window in its largest whole unit, such as "6 h".
func (w Window) Length() string {
	switch {
	case w.Seconds%3600 == 0:
		return fmt.Sprintf("%d h", w.Seconds/3600)
	case w.Seconds%60 == 0:
		return fmt.Sprintf("%d min", w.Seconds/60)
	}
	return fmt.Sprintf("%d s", w.Seconds)
}

// percent formats a fraction with up to three decimals, for targets such as 99.95%.
func percent(f float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.3f", 100*f), "0")
	return strings.TrimSuffix(text, ".") + "%"
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
