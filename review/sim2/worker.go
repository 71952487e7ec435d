package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
)

const (
	workerTopic topic.Name = "keyed.servers"
	// heartbeatInterval is how often a worker writes its entry; an entry lapses after three of them.
	heartbeatInterval = 1500 * time.Millisecond
	// maxLease is hold_max_ms, maxHoldWait the longest wait_ms.
	maxLease    = 10 * time.Second
	maxHoldWait = 2 * time.Second
	// startupTime is how long a run that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
)

// startRecord is a run that a worker has started.
type startRecord struct {
	Worker string
	Labels []string
	Task   string
	Run    int
	At     time.Time
	// EndedAt is zero while the run goes on.
	EndedAt time.Time
	How     string
}

func (s *startRecord) job() string { return s.Task[:strings.IndexByte(s.Task, '.')] }

// fleet holds the workers and what they have started.
type fleet struct {
	store *topictest.Store
	rec   *recorder

	// closesConnections makes the workers close the connection after each response.
	closesConnections atomic.Bool

	mu      sync.Mutex
	workers []*worker
	starts  []*startRecord
}

type run struct {
	record *startRecord
	number int
	endsAt time.Time // zero: until it is stopped
	cpu    int64
}

type end struct {
	n     int64
	task  string
	run   int
	how   string
	saved string
}

// worker serves the protocol of one worker. All fields below mu belong to the present incarnation.
type worker struct {
	f       *fleet
	id      string
	machine string
	service string
	zone    string
	address string
	cpu     int64

	mu       sync.Mutex
	labels   []string
	server   *http.Server
	born     int64
	bornAt   time.Time
	up       bool
	silent   bool // neither reads nor answers; the runs go on
	fence    int64
	lease    time.Time
	runs     map[string]*run
	ended    []end
	lastEnd  int64
	highest  map[string]int
	changed  chan struct{}
	entrySeq int64
	lastBeat time.Time
	listed   bool
}

// addWorker starts a worker on a free loopback port.
func (f *fleet) addWorker(id, machine, service, zone string, cpu int64, labels ...string) (*worker, error) {
	w := &worker{f: f, id: id, machine: machine, service: service, zone: zone, cpu: cpu}
	if err := w.start(labels); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.beat()
	return w, nil
}

// start begins an incarnation, at the address of the one before if there was one, and registers it.
func (w *worker) start(labels []string) error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = l.Addr().String()
	w.labels, w.bornAt, w.born = labels, time.Now(), time.Now().UnixMilli()
	w.up, w.silent, w.fence, w.lease = true, false, 0, time.Time{}
	w.runs, w.ended, w.lastEnd, w.highest = map[string]*run{}, nil, 0, map[string]int{}
	w.changed, w.entrySeq = make(chan struct{}), 0
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	server := w.server
	w.writeEntry()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			w.f.rec.note("worker %s: %v", w.id, err)
		}
	}()
	return nil
}

// crash ends the incarnation with its runs. Its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	_ = w.server.Close() // nothing is left to serve
	w.loseRuns()
}

// leave ends the worker for good, and its entry.
func (w *worker) leave() {
	w.crash()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = false
	w.f.store.Put(workerTopic, w.id, nil)
}

// goDark ends the runs and keeps the connections open without an answer, like a machine that has lost power.
func (w *worker) goDark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.silent = false, true
	w.loseRuns()
}

// cut partitions the worker from all callers and from the store, or ends the partition. Its runs go on.
func (w *worker) cut(off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = off
	w.f.rec.note("worker %s is cut off: %v", w.id, off)
}

func (w *worker) loseRuns() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	for _, r := range w.runs {
		r.record.EndedAt, r.record.How = time.Now(), "lost"
	}
	w.runs = map[string]*run{}
}

// beat writes the entry, removes it after three intervals of silence and ends runs that are due.
func (w *worker) beat() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		w.advance()
		switch {
		case w.up && !w.silent && time.Since(w.lastBeat) >= heartbeatInterval:
			w.writeEntry()
		case w.listed && time.Since(w.lastBeat) >= 3*heartbeatInterval:
			w.listed = false
			w.f.store.Put(workerTopic, w.id, nil)
		}
		w.mu.Unlock()
	}
}

func (w *worker) writeEntry() {
	w.entrySeq++
	w.lastBeat, w.listed = time.Now(), true
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"warmup_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 32768, "gpu": 0}, "labels": w.labels,
		"machine": w.machine, "born": w.born, "clock_ms": w.clock(), "seq": w.entrySeq,
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	w.f.store.Put(workerTopic, w.id, entry)
}

func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() + 1 }

func (w *worker) advance() {
	now := time.Now()
	for task, r := range w.runs {
		switch {
		case now.After(w.lease):
			w.endRun(task, r, "lapsed")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.endRun(task, r, "done")
		}
	}
}

func (w *worker) endRun(task string, r *run, how string) {
	delete(w.runs, task)
	w.f.mu.Lock()
	r.record.EndedAt, r.record.How = time.Now(), how
	w.f.mu.Unlock()
	w.lastEnd++
	w.highest[task] = max(w.highest[task], r.number)
	w.ended = append(w.ended, end{n: w.lastEnd, task: task, run: r.number, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

type workerRequest struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	Spec      string `json:"spec"`
	UntilMS   int64  `json:"until_ms"`
	Fence     int64  `json:"fence"`
	AckCursor int64  `json:"ack_cursor"`
	WaitMS    int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(res http.ResponseWriter, r *http.Request) {
	var body workerRequest
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			res.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	status, answer := w.serve(r, &body)
	silent := w.silent // it may have fallen silent during the wait
	w.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if w.f.closesConnections.Load() {
		res.Header().Set("Connection", "close")
	}
	res.Header().Set("Content-Type", "application/json")
	res.WriteHeader(status)
	_ = json.NewEncoder(res).Encode(answer) // fails only if the caller has gone
}

// serve handles a request. The caller holds mu.
func (w *worker) serve(r *http.Request, body *workerRequest) (int, map[string]any) {
	if r.URL.Path == "/health" {
		return http.StatusOK, nil
	}
	if expected := r.Header.Get("Pollenford-Expect-Instance"); expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, nil
	}
	w.advance()
	if body.Fence < w.fence {
		return w.conflict("fence")
	}
	w.fence = body.Fence
	switch r.URL.Path {
	case "/run-start":
		return w.startRun(body)
	case "/run-stop":
		w.highest[body.Task] = max(w.highest[body.Task], body.Run)
		if r := w.runs[body.Task]; r != nil && r.number <= body.Run {
			w.endRun(body.Task, r, "stopped")
		}
		return http.StatusOK, w.answer()
	case "/hold":
		return w.hold(r, body)
	}
	return http.StatusNotFound, nil
}

func (w *worker) answer() map[string]any {
	return map[string]any{"born": w.born, "clock_ms": w.clock()}
}

func (w *worker) conflict(reason string) (int, map[string]any) {
	answer := w.answer()
	answer["reason"] = reason
	return http.StatusConflict, answer
}

func (w *worker) extendLease(untilMS int64) {
	until := w.bornAt.Add(time.Duration(untilMS) * time.Millisecond)
	if limit := time.Now().Add(maxLease); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) startRun(body *workerRequest) (int, map[string]any) {
	if r := w.runs[body.Task]; r != nil && r.number == body.Run {
		return http.StatusOK, w.answer()
	}
	if body.UntilMS <= w.clock() {
		return w.conflict("late")
	}
	w.extendLease(body.UntilMS)
	if body.Run <= w.highest[body.Task] || w.runs[body.Task] != nil {
		return w.conflict("old")
	}
	spec := parseSpec(body.Spec)
	used := int64(0)
	for _, r := range w.runs {
		used += r.cpu
	}
	if used+spec.cpu > w.cpu {
		return w.conflict("room")
	}
	record := &startRecord{Worker: w.id, Labels: w.labels, Task: body.Task, Run: body.Run, At: time.Now()}
	r := &run{record: record, number: body.Run, cpu: spec.cpu}
	if spec.runTime > 0 {
		r.endsAt = record.At.Add(spec.runTime)
	}
	w.runs[body.Task] = r
	w.f.mu.Lock()
	w.f.starts = append(w.f.starts, record)
	w.f.mu.Unlock()
	w.f.rec.note("start of %s run %d on %s %v, fence %d", body.Task, body.Run, w.id, w.labels, body.Fence)
	return http.StatusOK, w.answer()
}

func (w *worker) hold(r *http.Request, body *workerRequest) (int, map[string]any) {
	if body.UntilMS > 0 {
		w.extendLease(body.UntilMS)
	}
	for len(w.ended) > 0 && w.ended[0].n <= body.AckCursor {
		w.ended = w.ended[1:]
	}
	wait := min(time.Duration(body.WaitMS)*time.Millisecond, maxHoldWait)
	for deadline := time.Now().Add(wait); len(w.ended) == 0 && time.Now().Before(deadline); {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if r.Context().Err() != nil {
			break
		}
		w.advance()
	}
	answer := w.answer()
	running, finished := [][]any{}, [][]any{}
	for task, r := range w.runs {
		percent := 100
		if r.endsAt.IsZero() && time.Since(r.record.At) < startupTime {
			percent = 0
		}
		running = append(running, []any{task, r.number, "", percent, r.cpu})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	answer["running"], answer["finished"] = running, finished
	return http.StatusOK, answer
}

// jobSpec is what the text in a job's spec asks of a run.
type jobSpec struct {
	runTime time.Duration
	cpu     int64
}

// text returns the spec of a job whose tasks run for the given time (0: until stopped) on the given amount of cpu.
func (s jobSpec) text() string { return fmt.Sprintf("%d %d", s.runTime.Milliseconds(), s.cpu) }

func parseSpec(text string) jobSpec {
	first, second, _ := strings.Cut(text, " ")
	ms, _ := strconv.Atoi(first)
	cpu, _ := strconv.ParseInt(second, 10, 64)
	return jobSpec{runTime: time.Duration(ms) * time.Millisecond, cpu: cpu}
}
