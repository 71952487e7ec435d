package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Run is a run of a task on a worker.
type Run struct {
	Task, Spec, Checkpoint string
	Number                 int
	Worker                 *Worker
	Fence                  int64
	StartedAt, EndedAt     time.Time
	End                    string // "" while it runs, "lost" with its worker
	AckedAt                time.Time
	// leaseLapsed reports whether the worker's lease lapsed between the end and its acknowledgement.
	leaseLapsed bool
	gang        *gang
	timer       *time.Timer
}

// gang is a run of a gang.
type gang struct {
	size    int
	members map[string]*Run
	working bool
}

// Worker is one life of a machine.
type Worker struct {
	w       *World
	ID      string
	machine *Machine
	addr    string
	born    time.Time
	state   string
	seq     int
	server  *http.Server
	guards  bool
	dark    bool // it answers nothing
	// lateStarts is how long starts go unanswered before they are carried out; refuse is a status with which starts are refused.
	lateStarts time.Duration
	refuse     int

	fence      int64
	leaseUntil int64 // on its clock
	runs       map[string]*Run
	highest    map[string]int
	ended      []*Run
	numbers    []int
	last       int
	changed    chan struct{}
}

// spec is what the specification of a task says of its work.
type spec struct {
	MS    int64 `json:"ms"`
	Fails bool  `json:"fails"`
}

// newWorker starts a worker. The caller holds mu.
func (w *World) newWorker(m *Machine, id string) *Worker {
	x := &Worker{w: w, ID: id, machine: m, born: time.Now(), state: "ready", guards: true,
		runs: map[string]*Run{}, highest: map[string]int{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	x.addr = l.Addr().String()
	x.server = &http.Server{Handler: x}
	go func() { _ = x.server.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = x.server.Close() })
	go x.expire()
	return x
}

func (x *Worker) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

// end ends a worker. The caller holds mu.
func (w *World) end(x *Worker, deregister bool) {
	w.logf("worker %s has ended with %d runs", x.ID, len(x.runs))
	for _, r := range x.runs {
		x.endRun(r, "lost")
	}
	x.state = "gone"
	_ = x.server.Close()
	if deregister {
		w.store.Put(workerTopic, x.ID, nil)
	}
}

// expire ends the runs whose lease has expired.
func (x *Worker) expire() {
	for x.w.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		x.w.mu.Lock()
		if x.state == "gone" {
			x.w.mu.Unlock()
			return
		}
		for _, r := range x.runs {
			if x.clock() > x.leaseUntil {
				x.endRun(r, "lapsed")
			}
		}
		if x.clock() > x.leaseUntil {
			for _, r := range x.ended {
				r.leaseLapsed = true
			}
		}
		x.w.mu.Unlock()
	}
}

// endRun ends a run. The caller holds mu.
func (x *Worker) endRun(r *Run, how string) {
	if x.runs[r.Task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(x.runs, r.Task)
	r.EndedAt, r.End = time.Now(), how
	x.highest[r.Task] = max(x.highest[r.Task], r.Number)
	x.w.logf("end %s run %d on %s: %s", r.Task, r.Number, x.ID, how)
	if how != "lost" {
		x.last++
		x.ended, x.numbers = append(x.ended, r), append(x.numbers, x.last)
	}
	close(x.changed)
	x.changed = make(chan struct{})
	if g := r.gang; g != nil && g.members[r.Task] == r {
		delete(g.members, r.Task)
		for _, other := range g.members {
			if how == "done" {
				delete(g.members, other.Task)
				other.Worker.endRun(other, "done")
			} else if g.working {
				delete(g.members, other.Task)
				other.Worker.endRun(other, "broken")
			}
		}
	}
}

// step returns the job and the step of a task, nil if nobody sent it. The caller holds mu.
func (w *World) step(task string) (*Job, *Step, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil, 0
	}
	j := w.jobs[parts[0]]
	k, _ := strconv.Atoi(parts[1])
	s, _ := strconv.Atoi(parts[2])
	if j == nil || s >= len(j.Steps) {
		return nil, nil, 0
	}
	return j, &j.Steps[s], k
}

// used returns what runs on the worker. The caller holds mu.
func (x *Worker) used() (cpu, mem int64) {
	for _, r := range x.runs {
		if _, s, _ := x.w.step(r.Task); s != nil {
			cpu, mem = cpu+s.CPU, mem+s.MemMB
		}
	}
	return cpu, mem
}

// ServeHTTP serves the protocol of workers.
func (x *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task, Spec, Checkpoint, Ticket string
		Run                            int
		UntilMS                        int64 `json:"until_ms"`
		Fence                          int64 `json:"fence"`
		AckCursor                      int   `json:"ack_cursor"`
		WaitMS                         int64 `json:"wait_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w := x.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.dark {
		w.mu.Unlock()
		<-r.Context().Done()
		w.mu.Lock()
		return
	}
	if r.Header.Get("Pollenford-Expect-Instance") != x.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	answer := func(status int, fields map[string]any) {
		fields["clock_ms"], fields["born"] = x.clock(), x.born.UnixMilli()
		reply(rw, status, fields)
	}
	refuse := func(reason string) {
		w.logf("%s %s run %d on %s fence %d: 409 %s", r.URL.Path, body.Task, body.Run, x.ID, body.Fence, reason)
		answer(http.StatusConflict, map[string]any{"reason": reason})
	}
	if r.URL.Path == "/run-start" {
		if x.refuse != 0 {
			rw.WriteHeader(x.refuse)
			return
		}
		if late := x.lateStarts; late > 0 {
			task, run := body.Task, body.Run
			w.logf("start %s run %d on %s is held for %v", task, run, x.ID, late)
			time.AfterFunc(late, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				if x.state != "gone" && body.Fence >= x.fence {
					x.start(body.Task, body.Run, body.Spec, body.Checkpoint, body.UntilMS, body.Fence)
				}
			})
			w.mu.Unlock()
			<-r.Context().Done()
			w.mu.Lock()
			return
		}
	}
	if body.Fence < x.fence {
		refuse("fence")
		return
	}
	x.fence = body.Fence
	switch r.URL.Path {
	case "/run-start":
		if reason := x.start(body.Task, body.Run, body.Spec, body.Checkpoint, body.UntilMS, body.Fence); reason != "" {
			refuse(reason)
			return
		}
		answer(http.StatusOK, map[string]any{})
	case "/run-stop":
		x.highest[body.Task] = max(x.highest[body.Task], body.Run)
		if run := x.runs[body.Task]; run != nil && run.Number <= body.Run {
			w.logf("stop %s run %d on %s", body.Task, body.Run, x.ID)
			time.AfterFunc(stopTime/2, func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				x.endRun(run, "stopped")
			})
		}
		answer(http.StatusOK, map[string]any{})
	case "/hold":
		x.hold(r.Context(), body.UntilMS, body.AckCursor, time.Duration(body.WaitMS)*time.Millisecond, answer)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (x *Worker) extend(until int64) {
	x.leaseUntil = max(x.leaseUntil, min(until, x.clock()+maxHold.Milliseconds()))
}

// start starts a run and returns the reason of a rejection, or "". The caller holds mu.
func (x *Worker) start(task string, number int, text, checkpoint string, until, fence int64) string {
	w := x.w
	if run := x.runs[task]; run != nil && run.Number == number {
		return ""
	}
	if number <= x.highest[task] || x.runs[task] != nil && x.runs[task].Number > number {
		x.extend(until)
		return "old"
	}
	if until <= x.clock() {
		return "late"
	}
	x.extend(until)
	j, s, k := w.step(task)
	if s != nil && x.guards {
		if cpu, mem := x.used(); cpu+s.CPU > x.machine.CPU || mem+s.MemMB > x.machine.MemMB {
			return "room"
		}
	}
	r := &Run{Task: task, Spec: text, Checkpoint: checkpoint, Number: number, Worker: x, Fence: fence, StartedAt: time.Now()}
	x.runs[task] = r
	w.starts = append(w.starts, r)
	w.logf("start %s run %d on %s fence %d", task, number, x.ID, fence)
	var work spec
	_ = json.Unmarshal([]byte(text), &work)
	begin := func(r *Run) {
		if s != nil && s.LongRunning {
			return
		}
		how := "done"
		if work.Fails {
			how = "failed"
		}
		r.timer = time.AfterFunc(time.Duration(work.MS)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			x.endRun(r, how)
		})
	}
	if s == nil || !s.Gang {
		begin(r)
		return ""
	}
	parts := strings.Split(task, ".")
	key := fmt.Sprintf("%s.%d.%s/%d", j.ID, k, parts[2], number)
	g := w.gangs[key]
	if g == nil {
		g = &gang{size: s.Count, members: map[string]*Run{}}
		w.gangs[key] = g
	}
	r.gang, g.members[task] = g, r
	if len(g.members) == g.size {
		g.working = true
		begin(r)
	} else {
		time.AfterFunc(gangWait, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !g.working {
				delete(g.members, task)
				x.endRun(r, "alone")
			}
		})
	}
	return ""
}

// hold answers a heartbeat. The caller holds mu.
func (x *Worker) hold(ctx context.Context, until int64, acked int, wait time.Duration, answer func(int, map[string]any)) {
	if until > 0 {
		x.extend(until)
	}
	for len(x.numbers) > 0 && x.numbers[0] <= acked {
		x.ended[0].AckedAt = time.Now()
		x.ended, x.numbers = x.ended[1:], x.numbers[1:]
	}
	deadline := time.After(min(wait, 2*time.Second))
	for waiting := wait > 0; waiting && len(x.ended) == 0; {
		changed := x.changed
		x.w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		x.w.mu.Lock()
	}
	if ctx.Err() != nil || x.dark {
		return
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.runs {
		percent := 100
		if time.Since(r.StartedAt) < 300*time.Millisecond || r.gang != nil && !r.gang.working {
			percent = 0
		}
		running = append(running, []any{r.Task, r.Number, r.Checkpoint, percent, 0})
	}
	for i, r := range x.ended {
		if i == 500 {
			break
		}
		finished = append(finished, []any{x.numbers[i], r.Task, r.Number, r.End, r.Checkpoint})
	}
	answer(http.StatusOK, map[string]any{"running": running, "finished": finished})
}
