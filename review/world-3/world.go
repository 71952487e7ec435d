// Command world-3 runs the cases of a review. It starts nodes of the job service as separate processes beside a stand-in of the
// platform: the store, workers, the instance service and the advice service, on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/platform/standin"
)

// Bounds of the deployment crt-rounds, which the settings of the nodes carry.
const (
	contactTime = 3 * time.Second
	ackTime     = 4 * time.Second
	applyTime   = 2 * time.Second
	stopTime    = 200 * time.Millisecond
	gangWait    = 3 * time.Second
	cancelTime  = 3 * time.Second
	moveTime    = 1500 * time.Millisecond
	upkeepTime  = 2 * time.Second
	maxHold     = 10 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

const (
	operatorTopic topic.Name = "keyed.op"
	workerTopic   topic.Name = "keyed.servers"
	statusTopic   topic.Name = "keyed.status"
)

// World is the platform with everything that runs on it.
type World struct {
	dir    string // temporary, of the processes
	began  time.Time
	ctx    context.Context
	cancel context.CancelFunc

	logMu  sync.Mutex
	record *os.File

	store   *topictest.Store
	storeAt *Proxy
	cloudAt *Proxy
	advice  string

	mu       sync.Mutex
	machines []*Machine
	jobs     map[string]*Job
	gangs    map[string]*gang
	starts   []*Run
	fences   map[string]int64 // of orders, by machine
	waves    map[int64][]string
	upkeeps  map[string]map[int64]bool // by machine
	advise   func(step string, workers []string) [][2]string
	adviceMS int64
	// adviceMu is held by the call that the advice service works on; it works for one machine, the owner's.
	adviceMu      sync.Mutex
	adviceWaiting atomic.Int64
	version       int
	config        map[string]any
	configMu      sync.Mutex
	nodes         []*Node

	processMu sync.Mutex
	closed    bool // no process is started any more; protected by processMu
}

// Job is a job as the client sent it.
type Job struct {
	ID          string
	Tenant      string
	Steps       []Step
	Repeats     int
	StartAtMS   int64
	PeriodMS    int64
	CancelAcked time.Time
}

// Step is a step of a job on the wire.
type Step struct {
	Count          int     `json:"count"`
	CPU            int64   `json:"cpu,omitempty"`
	MemMB          int64   `json:"mem_mb,omitempty"`
	EstimateMS     float64 `json:"estimate_ms,omitempty"`
	After          []int   `json:"after,omitempty"`
	SavesProgress  bool    `json:"saves_progress,omitempty"`
	Gang           bool    `json:"gang,omitempty"`
	AntiAffinity   int     `json:"anti_affinity,omitempty"`
	LongRunning    bool    `json:"long_running,omitempty"`
	Requires       string  `json:"requires,omitempty"`
	MaxUnavailable int     `json:"max_unavailable,omitempty"`
}

// newWorld returns a world with a store, an instance service and an advice service, and no machines.
func newWorld(recordPath string) (*World, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &World{
		dir: dir, began: time.Now(), ctx: ctx, cancel: cancel, record: record, store: &topictest.Store{PageRecords: 500},
		jobs: map[string]*Job{}, gangs: map[string]*gang{}, fences: map[string]int64{}, waves: map[int64][]string{},
		upkeeps: map[string]map[int64]bool{}, adviceMS: 3000,
	}
	store, err := w.serve(&standin.Store{Topics: w.store})
	if err != nil {
		return nil, err
	}
	cloud, err := w.serve(http.HandlerFunc(w.serveCloud))
	if err != nil {
		return nil, err
	}
	if w.advice, err = w.serve(http.HandlerFunc(w.serveAdvice)); err != nil {
		return nil, err
	}
	if w.storeAt, err = newProxy(store); err != nil {
		return nil, err
	}
	if w.cloudAt, err = newProxy(cloud); err != nil {
		return nil, err
	}
	go w.beat()
	return w, nil
}

// serve serves a handler on a free loopback address.
func (w *World) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	context.AfterFunc(w.ctx, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// logf writes a line to the record, with the time since the beginning.
func (w *World) logf(format string, args ...any) {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes their files.
func (w *World) close() {
	w.processMu.Lock()
	w.closed = true
	w.processMu.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	w.cancel()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// Machine is a machine of the platform, with at most one worker at a time.
type Machine struct {
	ID, Pool, Zone string
	Labels         []string
	CPU, MemMB     int64
	State          string
	Standby        bool
	worker         *Worker
	lives          int
}

// addMachine adds a machine with a worker.
func (w *World) addMachine(id, pool, zone string, cpu, mem int64, labels ...string) *Machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &Machine{ID: id, Pool: pool, Zone: zone, Labels: labels, CPU: cpu, MemMB: mem}
	w.machines = append(w.machines, m)
	w.bringUp(m)
	return m
}

// bringUp starts a new life of a machine. The caller holds mu.
func (w *World) bringUp(m *Machine) {
	m.State = "up"
	if m.Standby {
		return
	}
	m.lives++
	m.worker = w.newWorker(m, fmt.Sprintf("i-%s-%d", m.ID, m.lives))
	w.logf("worker %s is up on machine %s in pool %s", m.worker.ID, m.ID, m.Pool)
	w.register(m.worker)
}

// takeDown ends the worker of a machine and starts another one after a while. The caller holds mu.
func (w *World) takeDown(m *Machine, state string, downtime time.Duration) {
	if m.worker != nil {
		w.end(m.worker, true)
		m.worker = nil
	}
	m.State = state
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.bringUp(m)
	})
}

// register writes the entry of a worker to the store. The caller holds mu.
func (w *World) register(x *Worker) {
	x.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": x.machine.Pool, "address": x.addr, "zone": x.machine.Zone, "version": "v1", "slots": 8, "state": x.state,
		"warmup_left_ms": 0, "seq": x.seq, "machine": x.machine.ID, "born": x.born.UnixMilli(), "clock_ms": x.clock(),
		"capacity": map[string]int64{"cpu": x.machine.CPU, "mem_mb": x.machine.MemMB, "gpu": 0}, "labels": x.machine.Labels,
	})
	w.store.Put(workerTopic, x.ID, entry)
}

// beat renews the entries of all workers.
func (w *World) beat() {
	for {
		select {
		case <-time.After(heartbeat):
		case <-w.ctx.Done():
			return
		}
		w.mu.Lock()
		for _, m := range w.machines {
			if m.worker != nil && !m.worker.dark {
				w.register(m.worker)
			}
		}
		w.mu.Unlock()
	}
}

// serveCloud serves the instance service.
func (w *World) serveCloud(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Method == http.MethodGet {
		rows := []map[string]any{}
		for _, m := range w.machines {
			id := ""
			if m.worker != nil {
				id = m.worker.ID
			}
			rows = append(rows, map[string]any{"machine": m.ID, "pool": m.Pool, "state": m.State, "zone": m.Zone,
				"labels": m.Labels, "capacity": map[string]int64{"cpu": m.CPU, "mem_mb": m.MemMB, "gpu": 0}, "id": id})
		}
		reply(rw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
		return
	}
	var body struct {
		Machine, Pool string
		Wave          int64
	}
	var fence int64
	fmt.Sscan(r.Header.Get("Pollenford-Fencing-Token"), &fence)
	holder := r.Header.Get("Pollenford-Duty-Holder")
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	i := slices.IndexFunc(w.machines, func(m *Machine) bool { return m.ID == body.Machine })
	if i < 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	m := w.machines[i]
	refuse := func(reason string) {
		w.logf("order %s %s by %s fence %d: 409 %s", r.URL.Path, m.ID, holder, fence, reason)
		reply(rw, http.StatusConflict, map[string]string{"reason": reason})
	}
	upkeep := r.URL.Path == "/machine-upkeep"
	switch {
	case fence < w.fences[m.ID]:
		refuse("fence")
		return
	case upkeep && !slices.Contains(w.waves[body.Wave], m.ID):
		refuse("wave")
		return
	}
	w.fences[m.ID] = fence
	if upkeep && w.upkeeps[m.ID][body.Wave] || !upkeep && m.Pool == body.Pool {
		reply(rw, http.StatusOK, struct{}{})
		return
	}
	if m.State != "up" {
		refuse("busy")
		return
	}
	w.logf("order %s %s by %s fence %d: 200", r.URL.Path, m.ID, holder, fence)
	if upkeep {
		if w.upkeeps[m.ID] == nil {
			w.upkeeps[m.ID] = map[int64]bool{}
		}
		w.upkeeps[m.ID][body.Wave] = true
		w.takeDown(m, "upkeep", upkeepTime)
	} else {
		m.Pool = body.Pool
		w.takeDown(m, "moving", moveTime)
	}
	reply(rw, http.StatusOK, struct{}{})
}

// serveAdvice serves the advice service, one call at a time.
func (w *World) serveAdvice(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.adviceWaiting.Add(1) > 32 {
		w.adviceWaiting.Add(-1)
		rw.WriteHeader(http.StatusTooManyRequests)
		return
	}
	w.adviceMu.Lock()
	w.adviceWaiting.Add(-1)
	time.Sleep(time.Duration(50+2*len(body.Workers)) * time.Millisecond)
	w.adviceMu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	allowed := [][2]string{}
	if w.advise != nil {
		allowed = w.advise(body.Step, body.Workers)
	}
	w.logf("advice for %s on %d workers: %d allowed", body.Step, len(body.Workers), len(allowed))
	reply(rw, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": w.adviceMS})
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// publish writes a configuration with the next version and returns when the store has it.
func (w *World) publish(config map[string]any) {
	w.version++
	config["version"] = w.version
	data, _ := json.Marshal(config)
	w.store.Put(operatorTopic, "config", data)
	w.logf("configuration %d is acknowledged", w.version)
}

// orderWave writes a wave of upkeep.
func (w *World) orderWave(number int64, deadlineS float64, limit int, machines ...string) {
	w.mu.Lock()
	w.waves[number] = machines
	w.mu.Unlock()
	data, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "deadline_s": deadlineS, "cap": limit})
	w.store.Put(operatorTopic, fmt.Sprintf("wave/%d", number), data)
	w.logf("wave %d of %v is acknowledged", number, machines)
}

// change publishes a changed copy of the first configuration.
func (w *World) change(apply func(config map[string]any)) {
	w.configMu.Lock()
	defer w.configMu.Unlock()
	config := baseConfig()
	for name, value := range w.config {
		if name == "routes" || name == "tenants" {
			copied := []map[string]any{}
			for _, entry := range value.([]map[string]any) {
				copied = append(copied, maps.Clone(entry))
			}
			value = copied
		}
		config[name] = value
	}
	apply(config)
	w.publish(config)
}

// waveState returns the state of a wave that the system shows, "" if it shows none.
func (w *World) waveState(number int64) string {
	records, _, err := topic.ReadSnapshot(w.ctx, w.store, statusTopic)
	if err != nil {
		return ""
	}
	for _, r := range records {
		if r.Key == fmt.Sprintf("wave/%d", number) {
			var status struct{ State string }
			_ = json.Unmarshal(r.Value, &status)
			return status.State
		}
	}
	return ""
}

// upkeepBegan reports whether the upkeep of a machine for a wave has begun.
func (w *World) upkeepBegan(machine string, wave int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upkeeps[machine][wave]
}

// Node is a process of the job service.
type Node struct {
	w                  *World
	Name, Front, Ready string
	settings, log      string
	cmd                *exec.Cmd
	storeAt            *Proxy
	ended              chan struct{}
}

// freePorts returns free ports of a loopback address, n in a row.
func freePorts(n int) int {
	for first := 12000 + os.Getpid()%200*100; first < 32000; first += n {
		free := true
		for port := first; port < first+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first
		}
	}
	panic("no free ports")
}

var nextPort int

// startNode starts a node with a path of its own to the store.
func (w *World) startNode(name, zone string, memoryMB int) (*Node, error) {
	if nextPort == 0 {
		nextPort = freePorts(80)
	}
	port := nextPort
	nextPort += 8
	storeAt, err := newProxy(w.storeAt.target)
	if err != nil {
		return nil, err
	}
	n := &Node{w: w, Name: name, Front: fmt.Sprintf("127.0.0.1:%d", port), Ready: fmt.Sprintf("127.0.0.1:%d", port+1),
		settings: filepath.Join(w.dir, name+".toml"), log: filepath.Join(w.dir, name+".log"), storeAt: storeAt}
	text := fmt.Sprintf(`node = %q
role = "node"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "ie"
port_range = [%d, %d]
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
commands = "invoke"
advice = %q
[listen]
front = %q
ready = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 10000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 1
restore_ms = 600
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fence = true
lease_ms = 3000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = %q
rate_per_s = 64.0
duty_per_s = 64.0
`, name, zone, port+2, port+7, w.advice, n.Front, n.Ready, memoryMB, storeAt.addr, w.cloudAt.addr)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, n)
	return n, n.start()
}

// start starts the process and waits until it is ready.
func (n *Node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/pollenford", "node")
	cmd.Env = append(os.Environ(), "POLLENFORD_SETTINGS="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := n.startProcess(cmd); err != nil {
		return err
	}
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for range 100 {
		if res, err := client.Get("http://" + n.Ready + "/readiness"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready", n.Name)
}

// startProcess starts a process unless the node has one or the case is over.
func (n *Node) startProcess(cmd *exec.Cmd) error {
	n.w.processMu.Lock()
	defer n.w.processMu.Unlock()
	if n.w.closed {
		return fmt.Errorf("the case is over")
	}
	if n.ended != nil && n.alive() {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		n.w.logf("process of %s has ended: %v", n.Name, err)
		close(ended)
	}()
	return nil
}

func (n *Node) alive() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process.
func (n *Node) signal(s syscall.Signal) {
	n.w.logf("%v to %s", s, n.Name)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (n *Node) kill() {
	if n.ended == nil || !n.alive() {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// owner returns the node that is the owner by the logs, or nil.
func (w *World) owner() *Node {
	type term struct {
		at string
		n  *Node
	}
	var terms []term
	for _, n := range w.nodes {
		data, _ := os.ReadFile(n.log)
		for _, line := range strings.Split(string(data), "\n") {
			if strings.Contains(line, "elected as owner") {
				var entry map[string]any
				if json.Unmarshal([]byte(line), &entry) == nil {
					terms = append(terms, term{fmt.Sprint(entry["@timestamp"]), n})
				}
			}
		}
	}
	sort.Slice(terms, func(i, j int) bool { return terms[i].at < terms[j].at })
	if len(terms) == 0 {
		return nil
	}
	return terms[len(terms)-1].n
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 without an answer
	Body   string
}

var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 256}}

// call sends a request of a client with a deadline of 3 s.
func (w *World) call(n *Node, method, host, path, key string, body []byte) Answer {
	ctx, cancel := context.WithTimeout(w.ctx, 3200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Pollenford-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := clients.Do(req)
	if err != nil {
		return Answer{}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return Answer{}
	}
	return Answer{res.StatusCode, strings.TrimSpace(string(data))}
}

// submit hands a job in at a node.
func (w *World) submit(n *Node, host, prefix, key, spec string, j *Job) Answer {
	body := map[string]any{"spec": spec, "steps": j.Steps}
	if j.Repeats > 0 {
		body["repeats"], body["start_at_ms"], body["period_ms"] = j.Repeats, j.StartAtMS, j.PeriodMS
	}
	data, _ := json.Marshal(body)
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	a := w.call(n, http.MethodPost, host, prefix+j.ID, key, data)
	w.logf("POST %s at %s: %d %s", j.ID, n.Name, a.Status, a.Body)
	return a
}
