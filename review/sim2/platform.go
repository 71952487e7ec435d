package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
		case strings.HasPrefix(r.URL.Path, "/machine-"):
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"reason":"busy"}`)) // no case moves or maintains a machine
		case d.down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			store.ServeHTTP(w, r)
		}
	})}
	go func() { _ = server.Serve(l) }()
	return d, nil
}

// serveMachines lists the machines of all workers.
func (d *deployment) serveMachines(w http.ResponseWriter) {
	d.fleet.mu.Lock()
	workers := append([]*worker(nil), d.fleet.workers...)
	d.fleet.mu.Unlock()
	rows := []map[string]any{}
	for _, x := range workers {
		x.mu.Lock()
		state := "up"
		if !x.up {
			state = "down"
		}
		rows = append(rows, map[string]any{
			"machine": x.machine, "pool": x.service, "state": state, "zone": x.zone, "labels": x.labels,
			"capacity": map[string]int64{"cpu": x.cpu, "mem_mb": 32768, "gpu": 0}, "id": x.id,
		})
		x.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "next_token": nil})
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
