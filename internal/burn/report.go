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

// Report is the service-level burn of every objective at one time.
type Report struct {
	At time.Time `json:"at"`
	// Members are the entry instances whose counters are included, Missing those that did not answer.
	Members []string `json:"members"`
	Missing []string `json:"missing"`
	// Objectives are sorted by name.
	Objectives []Objective `json:"objectives"`
}

// Objective is the burn of one objective.
type Objective struct {
	Name string `json:"name"`
	// Queue or Organisation is set.
	Queue        string `json:"queue"`
	Organisation string `json:"organisation"`
	// Target is the fraction of good requests, between 0 and 1.
	Target float64 `json:"target"`
	// LatencyMS is the time in milliseconds within which a request counts as good.
	LatencyMS   int64 `json:"latency_ms"`
	WindowHours int64 `json:"window_hours"`
	// BudgetLeft is the unused fraction of the error budget. It is negative when the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// Windows are sorted by length; the last is the objective's own window.
	Windows []Window `json:"windows"`
	// History are the parts of the last day, oldest first.
	History []Bucket `json:"history"`
}

// Window is the burn in one sliding window.
type Window struct {
	// Seconds is the length of the window.
	Seconds int64  `json:"seconds"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
	// BurnRate is the error rate as a multiple of the rate that uses up the error budget exactly in the objective's
	// window. It is 0 without requests.
	BurnRate float64 `json:"burn_rate"`
}

// Build computes the report from counters by objective.
func Build(objectives map[string]Definition, counts map[string]Counts, at time.Time) Report {
	report := Report{At: at.UTC(), Members: []string{}, Missing: []string{}, Objectives: []Objective{}}
	for _, name := range slices.Sorted(maps.Keys(objectives)) {
		report.Objectives = append(report.Objectives, buildObjective(name, objectives[name], counts[name]))
	}
	return report
}

func buildObjective(name string, d Definition, c Counts) Objective {
	out := Objective{
		Name: name, Queue: d.Queue, Organisation: d.Organisation, Target: d.Target, LatencyMS: d.LatencyMS,
		WindowHours: d.WindowHours, Windows: []Window{}, History: c.History,
	}
	if out.History == nil {
		out.History = []Bucket{}
	}
	for i, b := range c.Windows {
		length := d.window()
		if i < len(fixedWindows) {
			length = fixedWindows[i]
		}
		out.Windows = append(out.Windows, Window{Seconds: int64(length / time.Second), Good: b.Good, Bad: b.Bad})
	}
	out.rate()
	return out
}

// rate computes the burn rates and the budget left from the counts.
func (o *Objective) rate() {
	o.BudgetLeft = 1
	for i := range o.Windows {
		w := &o.Windows[i]
		w.BurnRate = BurnRate(Bucket{w.Good, w.Bad}, o.Target)
		o.BudgetLeft = 1 - w.BurnRate // the last window is the objective's own
	}
}

// Merge adds the counts of another entry instance. Objectives and windows that only one of them counts are left as they
// are: two entry instances may run with other settings while these are rolled out.
func (r *Report) Merge(other Report) {
	r.Members = append(r.Members, other.Members...)
	r.Missing = append(r.Missing, other.Missing...)
	slices.Sort(r.Members)
	slices.Sort(r.Missing)
	for i := range r.Objectives {
		mine := &r.Objectives[i]
		for _, theirs := range other.Objectives {
			if theirs.Name == mine.Name {
				mine.merge(theirs)
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
	o.rate()
}

// BurnRate is the fraction of bad requests divided by the fraction that the target allows. Over the objective's own
// window it is the used fraction of the error budget.
func BurnRate(b Bucket, target float64) float64 {
	total := b.Good + b.Bad
	if total == 0 {
		return 0
	}
	return float64(b.Bad) / float64(total) / (1 - target)
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(tab, "service-level burn at %s\n", r.At.Format(time.RFC3339))
	fmt.Fprintf(tab, "entry instances: %s\n", orNone(r.Members))
	if len(r.Missing) > 0 {
		fmt.Fprintf(tab, "not counted, no answer: %s\n", strings.Join(r.Missing, ", "))
	}
	for _, o := range r.Objectives {
		fmt.Fprintf(tab, "\n%s: %s, %s good within %d ms over %d h, error budget left %s\n",
			o.Name, o.Scope(), percent(o.Target), o.LatencyMS, o.WindowHours, percent(o.BudgetLeft))
		fmt.Fprintln(tab, "WINDOW\tGOOD\tBAD\tBURN RATE")
		for _, win := range o.Windows {
			fmt.Fprintf(tab, "%s\t%d\t%d\t%.2f\n", win.Length(), win.Good, win.Bad, win.BurnRate)
		}
	}
	return tab.Flush()
}

// Scope names what the objective covers.
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

// percent shows a fraction with as many digits as targets such as 99.95% need.
func percent(f float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.3f", 100*f), "0")
	return strings.TrimSuffix(text, ".") + "%"
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}
