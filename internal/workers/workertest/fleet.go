// Package workertest is an in-memory fleet of workers with the faults of real ones.
package workertest

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/workers"
)

// Errors that tests meet.
const (
	errNoAnswer = errors.ConstError("no answer")
	errNoWorker = errors.ConstError("connection refused")
)

// Fleet implements workers.Client. The zero value is ready for use.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker // by address; protected by mu
	// starts lists every run that began, in order; protected by mu.
	starts []Start
}

// Start is one run that began.
type Start struct {
	Worker, Task string
	Run          int
	At           time.Time
	Checkpoint   string
	Ticket       string
}

// Worker is one worker of a fleet.
type Worker struct {
	fleet       *Fleet
	ID          string
	Incarnation int64
	// RunTime is how long a run takes; 0 until it is stopped.
	RunTime time.Duration
	// StartupTime is how long a run takes until it works at its full speed. It is set before the first run.
	StartupTime time.Duration
	// WorkForSpec, if not nil, tells from the specification what a run does. It is set before the first run.
	WorkForSpec func(spec string) Work

	// The fields below are protected by fleet.mu.
	born    time.Time
	fence   int64
	until   time.Time
	runs    map[string]*run
	ended   []workers.RunEnd
	last    int64
	highest map[string]int
	silent  bool
	late    time.Duration // orders are carried out so much later, without an answer
	refuse  error
	news    chan struct{} // closed when a run ends
}

// Work is what a run does.
type Work struct {
	RunTime   time.Duration // 0 until it is stopped
	EndReason workers.EndReason
	// FinalCheckpoint is the state that the run saves at its end.
	FinalCheckpoint string
}

type run struct {
	number int
	began  time.Time
	ends   time.Time // zero for a run that lasts
	work   Work
}

// Add puts a worker at an address.
func (f *Fleet) Add(address, id string, incarnation int64, workFor time.Duration) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers == nil {
		f.workers = map[string]*Worker{}
	}
	w := &Worker{
		fleet: f, ID: id, Incarnation: incarnation, RunTime: workFor, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int{}, news: make(chan struct{}),
	}
	f.workers[address] = w
	return w
}

// Remove ends the worker at an address: nothing answers there, and what it ran is gone.
func (f *Fleet) Remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, address)
}

// Running returns the names of all tasks that run anywhere.
func (f *Fleet) Running() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]bool{}
	for _, w := range f.workers {
		w.advance()
		for task := range w.runs {
			all[task] = true
		}
	}
	return all
}

// Starts returns every run that began.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Start(nil), f.starts...)
}

// SetUnresponsive cuts the worker off: it answers nothing and runs on.
func (w *Worker) SetUnresponsive(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
}

// DelayStarts makes orders go without an answer and be carried out after a delay.
func (w *Worker) DelayStarts(by time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.late = by
}

// RefuseStarts makes the worker refuse starts with an error.
func (w *Worker) RefuseStarts(err error) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.refuse = err
}

// Fence returns the highest fence that the worker has seen.
func (w *Worker) Fence() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fence
}

// Running returns the names of the tasks that run.
func (w *Worker) Running() map[string]int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.advance()
	all := map[string]int{}
	for task, r := range w.runs {
		all[task] = r.number
	}
	return all
}

// UnacknowledgedEnds returns how many ends are still listed.
func (w *Worker) UnacknowledgedEnds() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.ended)
}

// EndRun ends a run that lasts.
func (w *Worker) EndRun(task string, how workers.EndReason) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if r := w.runs[task]; r != nil {
		w.end(task, r, how)
	}
}

func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

func (w *Worker) end(task string, r *run, how workers.EndReason) {
	delete(w.runs, task)
	w.last++
	w.highest[task] = max(w.highest[task], r.number)
	end := workers.RunEnd{Sequence: w.last, Task: task, Run: r.number, Reason: how}
	if how == workers.Done || how == workers.Stopped {
		end.Checkpoint = r.work.FinalCheckpoint
	}
	w.ended = append(w.ended, end)
	close(w.news)
	w.news = make(chan struct{})
}

// advance ends what is over or has lapsed.
func (w *Worker) advance() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case now.After(w.until):
			w.end(task, r, workers.LeaseExpired)
		case !r.ends.IsZero() && now.After(r.ends):
			w.end(task, r, r.work.EndReason)
		}
	}
}

func (f *Fleet) reach(to workers.Target) (*Worker, error) {
	w := f.workers[to.Address]
	if w == nil {
		return nil, errNoWorker
	}
	if w.silent {
		return nil, errNoAnswer
	}
	if w.ID != to.ID {
		return nil, workers.ErrIncarnationMismatch
	}
	w.advance()
	if to.Fence < w.fence {
		return nil, workers.ErrFenced
	}
	w.fence = to.Fence
	return w, nil
}

// Start implements workers.Client.
func (f *Fleet) Start(ctx context.Context, to workers.Target, o workers.StartRequest) (int64, error) {
	f.mu.Lock()
	w := f.workers[to.Address]
	if w != nil && w.late > 0 {
		time.AfterFunc(w.late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.start(to, o) // nobody hears of it
		})
		f.mu.Unlock()
		<-ctx.Done()
		return 0, ctx.Err()
	}
	defer f.mu.Unlock()
	return f.start(to, o)
}

func (f *Fleet) start(to workers.Target, o workers.StartRequest) (int64, error) {
	w, err := f.reach(to)
	if err != nil {
		return 0, err
	}
	if w.refuse != nil {
		return w.clock(), w.refuse
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return w.clock(), nil
	}
	if o.Run <= w.highest[o.Task] {
		return w.clock(), workers.ErrStaleRun
	}
	if o.LeaseUntilMS <= w.clock() {
		return w.clock(), workers.ErrRequestExpired
	}
	w.extend(o.LeaseUntilMS)
	r := &run{number: o.Run, began: time.Now(), work: Work{RunTime: w.RunTime, EndReason: workers.Done}}
	if w.WorkForSpec != nil {
		r.work = w.WorkForSpec(o.Spec)
	}
	if r.work.RunTime > 0 {
		r.ends = time.Now().Add(r.work.RunTime)
	}
	w.runs[o.Task] = r
	f.starts = append(f.starts, Start{Worker: w.ID, Task: o.Task, Run: o.Run, At: time.Now(), Checkpoint: o.Checkpoint, Ticket: o.Ticket})
	return w.clock(), nil
}

func (w *Worker) extend(untilMS int64) {
	if until := w.born.Add(time.Duration(untilMS) * time.Millisecond); until.After(w.until) {
		w.until = until
	}
}

// Stop implements workers.Client.
func (f *Fleet) Stop(_ context.Context, to workers.Target, task string, number int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.reach(to)
	if err != nil {
		return err
	}
	w.highest[task] = max(w.highest[task], number)
	if r := w.runs[task]; r != nil && r.number <= number {
		w.end(task, r, workers.Stopped)
	}
	return nil
}

// Heartbeat implements workers.Client.
func (f *Fleet) Heartbeat(ctx context.Context, to workers.Target, o workers.HeartbeatRequest) (workers.HeartbeatResponse, error) {
	f.mu.Lock()
	w, err := f.reach(to)
	if err != nil {
		f.mu.Unlock()
		if errors.Is(err, errNoAnswer) {
			<-ctx.Done()
		}
		return workers.HeartbeatResponse{}, err
	}
	if o.LeaseUntilMS > 0 {
		w.extend(o.LeaseUntilMS)
	}
	for len(w.ended) > 0 && w.ended[0].Sequence <= o.AcknowledgedEnds {
		w.ended = w.ended[1:]
	}
	giveUp := time.Now().Add(o.PollTimeout)
	for len(w.ended) == 0 && time.Now().Before(giveUp) {
		news := w.news
		f.mu.Unlock()
		select {
		case <-news:
		case <-time.After(10 * time.Millisecond): // runs end by time
		case <-ctx.Done():
			return workers.HeartbeatResponse{}, ctx.Err()
		}
		f.mu.Lock()
		w.advance()
	}
	defer f.mu.Unlock()
	report := workers.HeartbeatResponse{Incarnation: w.Incarnation, ClockMS: w.clock(), Ended: append([]workers.RunEnd(nil), w.ended...)}
	for task, r := range w.runs {
		percent := 100
		if time.Since(r.began) < w.StartupTime {
			percent = 0
		}
		report.Running = append(report.Running, workers.Run{Task: task, Number: r.number, SpeedPercent: percent})
	}
	return report, nil
}
