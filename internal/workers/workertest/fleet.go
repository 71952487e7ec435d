// Package workertest provides an in-memory fleet of workers with fault injection.
package workertest

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/wait"
	"github.com/pollenford/pollenford/internal/workers"
)

// Errors of unreachable workers.
const (
	errNoResponse = errors.ConstError("no response")
	errNoWorker   = errors.ConstError("connection refused")
)

// Fleet implements workers.Client. The zero value is ready for use.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker // by address; protected by mu
	// starts lists all started runs in order; protected by mu.
	starts []*Start
	// OmitIncarnation leaves the incarnation out of the replies to starts and stops. Set it before the first call.
	OmitIncarnation bool
	// BindIncarnations carries out a request only on the incarnation that it is addressed to, as the platform's client
	// does. Without it a request reaches the worker that is up. Set it before the first call.
	BindIncarnations bool
	// heldStarts holds back the starts sent to an address until its channel is closed; protected by mu.
	heldStarts map[string]*heldStarts
}

type heldStarts struct {
	released chan struct{}
	waiting  int
}

// Start describes a started run.
type Start struct {
	Worker, Task string
	Run          int
	Fence        int64
	At           time.Time
	Checkpoint   string
	Ticket       string
	// EndedAt is zero while the run is active. EndReason is empty for a run that was lost with its worker.
	EndedAt   time.Time
	EndReason workers.EndReason
	// EndAcknowledged reports whether an acknowledgement covered the end.
	EndAcknowledged bool
}

// Worker is one worker of a fleet.
type Worker struct {
	fleet       *Fleet
	ID          string
	Incarnation int64
	// RunTime is the duration of a run; with 0 it runs until it is stopped.
	RunTime time.Duration
	// StartupTime is the time until a run reaches its full speed. Set it before the first run.
	StartupTime time.Duration
	// WorkForSpec, if not nil, returns the behaviour of a run by its specification. Set it before the first run.
	WorkForSpec func(spec string) Work

	// The fields below are protected by fleet.mu.
	startedAt    time.Time
	fence        int64
	leaseUntil   time.Time
	runs         map[string]*run
	ended        []workers.RunEnd
	endedStarts  []*Start // parallel to ended
	lastSequence int64
	highestRun   map[string]int
	unresponsive bool
	startDelay   time.Duration // starts are applied after this delay, without a response
	transferTime time.Duration // of the lists in a response
	holdsStops   bool
	heldStops    []func()
	startError   error
	runEnded     chan struct{} // closed when a run ends
}

// Work defines the behaviour of a run.
type Work struct {
	RunTime   time.Duration // 0: until it is stopped
	EndReason workers.EndReason
	// FinalCheckpoint is the checkpoint that the run saves at its end.
	FinalCheckpoint string
}

type run struct {
	start     *Start
	number    int
	startedAt time.Time
	endsAt    time.Time // zero for a run that continues until it is stopped
	work      Work
	// checkpoint is what the run reports while it is active.
	checkpoint string
}

// Add adds a worker at an address and replaces the one there, if any.
func (f *Fleet) Add(address, id string, incarnation int64, runTime time.Duration) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers == nil {
		f.workers = map[string]*Worker{}
	}
	f.loseRuns(address)
	w := &Worker{
		fleet: f, ID: id, Incarnation: incarnation, RunTime: runTime, startedAt: time.Now(),
		runs: map[string]*run{}, highestRun: map[string]int{}, runEnded: make(chan struct{}),
	}
	f.workers[address] = w
	return w
}

// Remove removes the worker at an address together with its runs. Calls to the address are refused from then on.
func (f *Fleet) Remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseRuns(address)
	delete(f.workers, address)
}

// loseRuns records the end of the runs at an address, whose worker disappears. The caller holds mu.
func (f *Fleet) loseRuns(address string) {
	w := f.workers[address]
	if w == nil {
		return
	}
	w.advance()
	for _, r := range w.runs {
		r.start.EndedAt = time.Now()
	}
}

// HoldStarts makes starts wait on their way to an address, until ReleaseStarts. They reach the worker that is there then,
// even if the caller has given up.
func (f *Fleet) HoldStarts(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heldStarts == nil {
		f.heldStarts = map[string]*heldStarts{}
	}
	if f.heldStarts[address] == nil {
		f.heldStarts[address] = &heldStarts{released: make(chan struct{})}
	}
}

// HeldStarts returns how many starts wait on their way to an address.
func (f *Fleet) HeldStarts(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.heldStarts[address]; held != nil {
		return held.waiting
	}
	return 0
}

// ReleaseStarts delivers the starts that wait on their way to an address and restores normal operation.
func (f *Fleet) ReleaseStarts(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held := f.heldStarts[address]; held != nil {
		close(held.released)
		delete(f.heldStarts, address)
	}
}

// At returns the worker at an address, or nil.
func (f *Fleet) At(address string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[address]
}

// Running returns the names of the tasks running on any worker.
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

// Starts returns all started runs in order.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.advance()
	}
	all := make([]Start, len(f.starts))
	for i, s := range f.starts {
		all[i] = *s
	}
	return all
}

// SetUnresponsive sets whether calls to the worker fail, also heartbeats that it holds open. Its runs continue.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.unresponsive = unresponsive
}

// DelayStarts makes starts return no response and be applied after a delay; 0 restores normal operation.
func (w *Worker) DelayStarts(delay time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.startDelay = delay
}

// SetTransferTime sets how long the lists in a response to a heartbeat take on the link, after the response has begun.
func (w *Worker) SetTransferTime(transfer time.Duration) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.transferTime = transfer
}

// HoldStops makes the worker keep stops back and return no response, until ReleaseStops.
func (w *Worker) HoldStops() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.holdsStops = true
}

// HeldStops returns how many stops the worker keeps back.
func (w *Worker) HeldStops() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.heldStops)
}

// ReleaseStops applies the stops that were kept back and restores normal operation.
func (w *Worker) ReleaseStops() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.advance()
	for _, apply := range w.heldStops {
		apply()
	}
	w.holdsStops, w.heldStops = false, nil
}

// RefuseStarts makes the worker refuse starts with the given error; nil restores normal operation.
func (w *Worker) RefuseStarts(err error) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.startError = err
}

// Fence returns the highest fence that the worker has seen.
func (w *Worker) Fence() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.fence
}

// Running returns the run numbers of the running tasks by task name.
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

// UnacknowledgedEnds returns the number of run ends that have not been acknowledged.
func (w *Worker) UnacknowledgedEnds() int {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return len(w.ended)
}

// SaveCheckpoint makes a run of a task report a checkpoint from now on, if there is one.
func (w *Worker) SaveCheckpoint(task, checkpoint string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if r := w.runs[task]; r != nil {
		r.checkpoint = checkpoint
	}
}

// EndRun ends the run of a task, if there is one.
func (w *Worker) EndRun(task string, reason workers.EndReason) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if r := w.runs[task]; r != nil {
		w.endRun(task, r, reason, time.Now())
	}
}

// reply returns what the worker says of itself. The caller holds fleet.mu.
func (w *Worker) reply() workers.Reply {
	if w.fleet.OmitIncarnation {
		return workers.Reply{ClockMS: w.clock()}
	}
	return workers.Reply{Incarnation: w.Incarnation, ClockMS: w.clock()}
}

func (w *Worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

func (w *Worker) endRun(task string, r *run, reason workers.EndReason, at time.Time) {
	delete(w.runs, task)
	r.start.EndedAt, r.start.EndReason = at, reason
	w.lastSequence++
	w.highestRun[task] = max(w.highestRun[task], r.number)
	end := workers.RunEnd{Sequence: w.lastSequence, Task: task, Run: r.number, Reason: reason}
	if reason == workers.Done || reason == workers.Stopped {
		end.Checkpoint = r.work.FinalCheckpoint
	}
	w.ended, w.endedStarts = append(w.ended, end), append(w.endedStarts, r.start)
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// advance ends the runs that have finished or whose lease has expired.
func (w *Worker) advance() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case now.After(w.leaseUntil):
			w.endRun(task, r, workers.LeaseExpired, w.leaseUntil)
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.endRun(task, r, r.work.EndReason, r.endsAt)
		}
	}
}

// lookUp returns the addressed worker after checking its ID and the fence, which it records.
func (f *Fleet) lookUp(to workers.Target) (*Worker, error) {
	w := f.workers[to.Address]
	if w == nil {
		return nil, errNoWorker
	}
	if w.unresponsive {
		return nil, errNoResponse
	}
	if w.ID != to.ID {
		return nil, workers.ErrIncarnationMismatch
	}
	if f.BindIncarnations && to.Incarnation != 0 && to.Incarnation != w.Incarnation {
		return nil, &workers.IncarnationError{Found: w.Incarnation}
	}
	w.advance()
	if to.Fence < w.fence {
		return nil, workers.ErrFenced
	}
	w.fence = to.Fence
	return w, nil
}

// Start implements workers.Client.
func (f *Fleet) Start(ctx context.Context, to workers.Target, request workers.StartRequest) (workers.Reply, error) {
	f.mu.Lock()
	if held := f.heldStarts[to.Address]; held != nil {
		held.waiting++
		f.mu.Unlock()
		return f.startLate(ctx, held, to, request)
	}
	w := f.workers[to.Address]
	if w != nil && w.startDelay > 0 {
		time.AfterFunc(w.startDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			_, _ = f.start(to, request) // the response is lost
		})
		f.mu.Unlock()
		<-ctx.Done()
		return workers.Reply{}, ctx.Err()
	}
	defer f.mu.Unlock()
	return f.start(to, request)
}

// startLate delivers a start once it is released. The response is lost if the caller has given up by then.
func (f *Fleet) startLate(ctx context.Context, held *heldStarts, to workers.Target,
	request workers.StartRequest) (workers.Reply, error) {
	type result struct {
		reply workers.Reply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		<-held.released
		f.mu.Lock()
		defer f.mu.Unlock()
		reply, err := f.start(to, request)
		results <- result{reply, err}
	}()
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return workers.Reply{}, ctx.Err()
	}
}

func (f *Fleet) start(to workers.Target, request workers.StartRequest) (workers.Reply, error) {
	w, err := f.lookUp(to)
	if err != nil {
		return workers.Reply{}, err
	}
	if w.startError != nil {
		return w.reply(), w.startError
	}
	if r := w.runs[request.Task]; r != nil && r.number == request.Run {
		return w.reply(), nil
	}
	if request.Run <= w.highestRun[request.Task] {
		return w.reply(), workers.ErrStaleRun
	}
	if request.LeaseUntilMS <= w.clock() {
		return w.reply(), workers.ErrRequestExpired
	}
	w.extendLease(request.LeaseUntilMS)
	started := &Start{
		Worker: w.ID, Task: request.Task, Run: request.Run, Fence: to.Fence, At: time.Now(),
		Checkpoint: request.Checkpoint, Ticket: request.Ticket,
	}
	r := &run{
		start: started, number: request.Run, startedAt: started.At,
		work: Work{RunTime: w.RunTime, EndReason: workers.Done},
	}
	if w.WorkForSpec != nil {
		r.work = w.WorkForSpec(request.Spec)
	}
	if r.work.RunTime > 0 {
		r.endsAt = time.Now().Add(r.work.RunTime)
	}
	w.runs[request.Task] = r
	f.starts = append(f.starts, started)
	return w.reply(), nil
}

func (w *Worker) extendLease(leaseUntilMS int64) {
	if until := w.startedAt.Add(time.Duration(leaseUntilMS) * time.Millisecond); until.After(w.leaseUntil) {
		w.leaseUntil = until
	}
}

// Stop implements workers.Client.
func (f *Fleet) Stop(ctx context.Context, to workers.Target, task string, number int) (workers.Reply, error) {
	f.mu.Lock()
	w := f.workers[to.Address]
	if w != nil && w.holdsStops {
		w.fence = max(w.fence, to.Fence)
		w.heldStops = append(w.heldStops, func() { w.stop(task, number) })
		f.mu.Unlock()
		<-ctx.Done()
		return workers.Reply{}, ctx.Err()
	}
	defer f.mu.Unlock()
	w, err := f.lookUp(to)
	if err != nil {
		return workers.Reply{}, err
	}
	w.stop(task, number)
	return w.reply(), nil
}

func (w *Worker) stop(task string, number int) {
	w.highestRun[task] = max(w.highestRun[task], number)
	if r := w.runs[task]; r != nil && r.number <= number {
		w.endRun(task, r, workers.Stopped, time.Now())
	}
}

// awaitAnswer waits as long as a client waits for a response that does not begin.
func awaitAnswer(ctx context.Context, request workers.HeartbeatRequest) {
	limit := request.AnswerTimeout
	if limit == 0 {
		limit = defaultAnswerTimeout
	}
	wait.For(ctx, request.PollTimeout+limit)
}

// defaultAnswerTimeout is the client's limit for a response to begin.
const defaultAnswerTimeout = time.Second

// Heartbeat implements workers.Client.
func (f *Fleet) Heartbeat(ctx context.Context, to workers.Target,
	request workers.HeartbeatRequest) (workers.HeartbeatResponse, error) {
	f.mu.Lock()
	w, err := f.lookUp(to)
	if err != nil {
		f.mu.Unlock()
		if errors.Is(err, errNoResponse) {
			awaitAnswer(ctx, request)
		}
		return workers.HeartbeatResponse{}, err
	}
	if request.LeaseUntilMS > 0 {
		w.extendLease(request.LeaseUntilMS)
	}
	for len(w.ended) > 0 && w.ended[0].Sequence <= request.AcknowledgedEnds {
		w.endedStarts[0].EndAcknowledged = true
		w.ended, w.endedStarts = w.ended[1:], w.endedStarts[1:]
	}
	if transfer := w.transferTime; transfer > 0 {
		f.mu.Unlock()
		arrived := wait.For(ctx, transfer)
		f.mu.Lock()
		if !arrived {
			f.mu.Unlock()
			return workers.HeartbeatResponse{}, ctx.Err()
		}
		w.advance()
	}
	deadline := time.Now().Add(request.PollTimeout)
	for len(w.ended) == 0 && !w.unresponsive && time.Now().Before(deadline) {
		runEnded := w.runEnded
		f.mu.Unlock()
		select {
		case <-runEnded:
		case <-time.After(10 * time.Millisecond): // let advance end runs that are due
		case <-ctx.Done():
			return workers.HeartbeatResponse{}, ctx.Err()
		}
		f.mu.Lock()
		w.advance()
	}
	if w.unresponsive {
		f.mu.Unlock()
		request.PollTimeout = time.Until(deadline)
		awaitAnswer(ctx, request)
		return workers.HeartbeatResponse{}, errNoResponse
	}
	defer f.mu.Unlock()
	response := workers.HeartbeatResponse{
		Incarnation: w.Incarnation, ClockMS: w.clock(), Ended: append([]workers.RunEnd(nil), w.ended...)}
	for task, r := range w.runs {
		percent := 100
		if time.Since(r.startedAt) < w.StartupTime {
			percent = 0
		}
		response.Running = append(response.Running, workers.Run{Task: task, Number: r.number, Checkpoint: r.checkpoint, SpeedPercent: percent})
	}
	return response, nil
}
