package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/platform/standin"
)

const operatorTopic topic.Name = "keyed.op"

// recorder writes record.txt: what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a platform with its workers and the nodes under test.
type deployment struct {
	rec     *recorder
	fleet   *fleet
	topics  *topictest.Store
	address string
	dir     string
	nodes   []*nodeProcess
	down    atomic.Bool // the store rejects every call with 503
	version int

	mu       sync.Mutex
	machines []*machine // protected by mu
	// onUpkeep, if set, is called when a machine has been taken down and before the order is answered.
	onUpkeep func(machine string)
}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "pollenford-review-")
	if err != nil {
		return nil, err
	}
	topics := &topictest.Store{MaxRecordBytes: 262144, PageRecords: 500}
	d := &deployment{rec: rec, topics: topics, dir: dir, fleet: &fleet{store: topics, rec: rec}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	store := &standin.Store{Topics: topics}
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/machines":
			d.serveMachines(w)
		case r.URL.Path == "/machine-upkeep":
			d.serveUpkeep(w, r)
		case r.URL.Path == "/machine-move":
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"busy"}`)) // there is no other pool
		case d.down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			store.ServeHTTP(w, r)
		}
	})}
	go func() { _ = server.Serve(l) }()
	return d, nil
}

// setDown begins or ends an outage of the store.
func (d *deployment) setDown(down bool) {
	d.down.Store(down)
	d.rec.note("the store rejects all calls: %v", down)
}

// owner returns the node that wrote last under a condition: the topic keyed.owner has no other records.
func (d *deployment) owner() *nodeProcess {
	records, _, err := topic.ReadSnapshot(context.Background(), d.topics, "keyed.owner")
	if err != nil {
		return nil
	}
	for _, r := range records {
		for _, n := range d.nodes {
			if strings.Contains(string(r.Value), n.name) {
				return n
			}
		}
	}
	return nil
}

// machine is an instance of the platform. Its worker is one life of it.
type machine struct {
	id, pool, zone string
	labels         []string
	cpu            int64
	state          string
	worker         *worker // nil while the machine is down
	lives          int
	fence          int64
	maintained     map[int64]bool // by wave
}

// maintenanceTime is maintenance_s.
const maintenanceTime = 2 * time.Second

// addMachine adds a machine whose worker has an ID of its own.
func (d *deployment) addMachine(id, pool, zone string, cpu int64, labels ...string) (*machine, error) {
	m := &machine{id: id, pool: pool, zone: zone, labels: labels, cpu: cpu, maintained: map[int64]bool{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machines = append(d.machines, m)
	return m, d.bringUp(m)
}

// bringUp starts the next worker of a machine. The caller holds mu.
func (d *deployment) bringUp(m *machine) error {
	m.lives++
	w, err := d.fleet.addWorker(fmt.Sprintf("i-%s-%d", strings.TrimPrefix(m.id, "m-"), m.lives), m.id, m.pool, m.zone, m.cpu, m.labels...)
	m.worker, m.state = w, "up"
	return err
}

// serveMachines lists the machines.
func (d *deployment) serveMachines(w http.ResponseWriter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := []map[string]any{}
	for _, m := range d.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels,
			"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": 32768, "gpu": 0}, "id": id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": nil}) // fails only if the caller has gone
}

// serveUpkeep takes a machine down for its maintenance. An order that was carried out before has no effect.
func (d *deployment) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Pollenford-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("Pollenford-Duty-Holder")
	d.mu.Lock()
	status, reason, accepted := d.upkeep(body.Machine, body.Wave, fence)
	d.mu.Unlock()
	d.rec.note("upkeep of %s for wave %d by %s, fence %d: %d %s (carried out now: %v)", body.Machine, body.Wave, holder, fence, status, reason, accepted)
	if accepted && d.onUpkeep != nil {
		d.onUpkeep(body.Machine)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason}) // fails only if the caller has gone
}

// upkeep carries out an order. The caller holds mu.
func (d *deployment) upkeep(id string, wave, fence int64) (status int, reason string, accepted bool) {
	i := slices.IndexFunc(d.machines, func(m *machine) bool { return m.id == id })
	if i < 0 {
		return http.StatusBadRequest, "", false
	}
	m := d.machines[i]
	switch {
	case fence < m.fence:
		return http.StatusConflict, "fence", false
	case m.maintained[wave]:
		m.fence = fence
		return http.StatusOK, "", false
	case m.state != "up":
		return http.StatusConflict, "busy", false
	}
	m.fence, m.maintained[wave], m.state = fence, true, "upkeep"
	m.worker.leave()
	m.worker = nil
	time.AfterFunc(maintenanceTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := d.bringUp(m); err != nil {
			d.rec.note("machine %s is not back: %v", m.id, err)
			return
		}
		d.rec.note("machine %s is back with worker %s", m.id, m.worker.id)
	})
	return http.StatusOK, "", true
}

// startWave asks for the maintenance of machines, atOnce of them at a time.
func (d *deployment) startWave(number, atOnce int, machines ...string) {
	wave, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "deadline_s": 26, "cap": atOnce})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	d.topics.Put(operatorTopic, fmt.Sprintf("wave/%d", number), wave)
	d.rec.note("wave acknowledged: %s", wave)
}

// route is a queue of a configuration.
type route struct {
	name, prefix, service string
	anonymous             bool
}

const (
	clientHost = "jobs.example"
	clientKey  = "sjnbanfqasnmgkcuyj8p"
)

// publish writes the next version of the configuration. The store's acknowledgement is that of the operator's change.
func (d *deployment) publish(routes ...route) {
	d.version += 3
	list, services, seen := []map[string]any{}, []map[string]any{}, map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": clientHost, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": r.service, "max_attempts": 4, "slack_factor": 1.6,
			"anonymous": r.anonymous,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{
				"name": r.service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
				"preconditions": true, "standby": false,
			})
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": d.version, "routes": list, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{
			"name": "cugo130", "api_keys": []string{clientKey}, "weight": 50, "cap": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0},
		}},
	})
	if err != nil {
		panic(err) // the types above can be encoded
	}
	d.topics.Put(operatorTopic, "config", config)
	d.rec.note("configuration %d acknowledged: %s", d.version, config)
}

// nodeProcess is a process of the system, started with the command of the deploy file.
type nodeProcess struct {
	d            *deployment
	name         string
	front, ready string
	settings     string
	cmd          *exec.Cmd
}

// addNode writes the settings of a node and starts it.
func (d *deployment) addNode(name, zone string, cpuQuota float64) (*nodeProcess, error) {
	front, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	ready, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	own, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	n := &nodeProcess{d: d, name: name, settings: filepath.Join(d.dir, name+".toml"),
		front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", ready)}
	text := fmt.Sprintf(settingsText, name, zone, own, own+3, zone, n.front, n.ready, cpuQuota, d.address, d.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, n.start()
}

func (n *nodeProcess) start() error {
	log, err := os.OpenFile(filepath.Join(n.d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/pollenford", "node")
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.Env = append(os.Environ(), "POLLENFORD_SETTINGS="+n.settings)
	n.d.rec.note("node %s starts", n.name)
	return n.cmd.Start()
}

// kill ends the process with SIGKILL.
func (n *nodeProcess) kill() {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	_ = n.cmd.Wait() // the exit status of a killed process does not matter
	n.d.rec.note("node %s killed", n.name)
}

// close ends all processes that were started and removes the temporary folder unless KEEP is set.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.ProcessState == nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// awaitReady waits until all nodes report that they are ready.
func (d *deployment) awaitReady() error {
	for _, n := range d.nodes {
		ok := poll(15*time.Second, func() bool {
			res, err := http.Get("http://" + n.ready + "/readiness")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
		if !ok {
			return fmt.Errorf("node %s is not ready", n.name)
		}
	}
	return nil
}

// poll repeats a condition until it holds; it reports false at the time limit.
func poll(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// freePorts returns the first of n consecutive free ports below the range from which the system picks ports.
func freePorts(n int) (int, error) {
	for range 1000 {
		first := 20000 + rand.IntN(12000)
		free := true
		for p := first; p < first+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

// settingsText is the settings file of a small deployment, with the bounds of the users' pages.
const settingsText = `node = %q
role = "node"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "ie"
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
commands = "invoke"
[zones]
%s = "ie"
[listen]
front = %q
ready = %q
[limits]
cpu_quota = %v
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
back_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
checkpoint_s = 1
restore_ms = 600
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
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
duties = []
duty_per_s = 64.0
`
