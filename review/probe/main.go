// Command probe runs the cases of the review that are scripts. It plays the platform, the workers and the clients, and
// starts the nodes as separate processes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// world is a small deployment.
type world struct {
	log     *journal
	store   *store
	fleet   *fleet
	nodes   []*node
	client  *client
	trouble bool
	// machines describes the machines of the nodes; nil for the usual ones.
	machines []machine
}

// machine describes the machine of a node.
type machine struct {
	cores    float64
	memoryMB int
	linkMbps int
}

// usualMachine is the machine of a small deployment. Its link is not slowed down.
var usualMachine = machine{cores: 0.4, memoryMB: 284, linkMbps: 1000}

var cases = map[string]func(*world) error{
	"outage-restart": outageRestart, "slow-link": slowLink, "large-job": largeJob, "route-removed": routeRemoved, "long-id": longID, "frozen-owner": frozenOwner, "worker-reborn": workerReborn,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: probe CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(play func(*world) error, recordPath string) int {
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	log := &journal{file: file, began: time.Now()}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	w := &world{log: log, store: newStore(), fleet: newFleet(log), trouble: os.Getenv("TROUBLE") != "0"}
	if os.Args[1] == "slow-link" {
		w.machines = slowLinkMachines
	}
	log.printf("trouble: %v", w.trouble)
	defer func() {
		for _, n := range w.nodes {
			n.kill()
		}
	}()
	err = w.setUp(dir)
	if err == nil {
		err = play(w)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		keepLogs(dir, os.Getenv("KEEP_LOGS"))
	}
	switch {
	case err == nil:
		log.printf("result: the rule held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		log.printf("result: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	}
	log.printf("result: the case did not run: %v", err)
	fmt.Println("not run:", err)
	return exitNotRun
}

// keepLogs copies the logs of the nodes to a folder.
func keepLogs(from, to string) {
	names, _ := filepath.Glob(filepath.Join(from, "*.log")) // the pattern is valid
	for _, name := range names {
		if data, err := os.ReadFile(name); err == nil {
			_ = os.WriteFile(filepath.Join(to, filepath.Base(name)), data, 0o600) // for a person to read
		}
	}
}

// Names of the deployment.
const (
	host       = "rounds.example"
	prefix     = "/plans/"
	sidePrefix = "/quotes/"
	service    = "round-desk"
	tenantKey  = "key-of-the-north-yards"
	workers    = 6
	// Kinds of the workers. Only the last one is of the special kind.
	usualKind, specialKind = "a", "b"
)

type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Service    string  `json:"service"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"max_attempts"`
	Slack      float64 `json:"slack_factor"`
	Target     int     `json:"target_latency_ms"`
}

var (
	planRoute  = route{"plans", host, prefix, service, 0, 4, 2, 600}
	quoteRoute = route{"quotes", host, sidePrefix, service, 0, 4, 2, 600}
)

// publish writes a configuration as the operator does.
func (w *world) publish(version int, routes ...route) {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "preconditions": true}},
		"tenants":  []map[string]any{{"name": "north", "api_keys": []string{tenantKey}, "weight": 1, "cap": map[string]int{}}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.op", "config", data)
	w.log.printf("operator: configuration %d acknowledged, %d routes", version, len(routes))
}

// setUp starts the platform, the workers and the nodes and waits until all nodes are ready.
func (w *world) setUp(dir string) error {
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(storeListener, w.store) }() // ends with the process
	cloudListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(cloudListener, http.HandlerFunc(w.serveCloud)) }() // ends with the process
	w.publish(3, planRoute, quoteRoute)
	for i := range workers {
		zone := []string{"ie-a", "ie-b", "ie-c"}[i%3]
		kind := usualKind
		if i == workers-1 {
			kind = specialKind
		}
		if err := w.fleet.add(w.store, fmt.Sprintf("7f3a%04x", i), service, kind, zone, "r1-"+zone); err != nil {
			return err
		}
	}
	if w.machines == nil {
		w.machines = []machine{usualMachine, usualMachine, usualMachine}
	}
	w.nodes, err = newNodes(dir, w.machines, storeListener.Addr().String(), cloudListener.Addr().String(), w.log)
	if err != nil {
		return err
	}
	w.client = &client{nodes: w.nodes, log: w.log}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("the nodes are not ready")
		}
	}
	time.Sleep(3 * time.Second) // as long as contact_ms
	w.log.printf("all nodes are ready")
	return nil
}

// serveCloud lists the machines, all of which stay in their only pool.
func (w *world) serveCloud(res http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/machines" {
		res.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	rows := []map[string]any{}
	for _, k := range w.fleet.workers {
		rows = append(rows, map[string]any{
			"machine": k.machine, "pool": k.service, "state": "up", "zone": "ie-a", "labels": k.labels,
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemoryMB}, "id": k.id})
	}
	writeJSON(res, http.StatusOK, map[string]any{"machines": rows})
}

// job is a job that a client hands in.
type job struct {
	id, prefix string
	steps      int
	tasks      int
	sentAt     time.Time
	accepted   bool
}

// newJob returns the body of a job of steps that follow each other.
func (w *world) newJob(id string, steps, tasks, cpu int, spec work) (*job, string) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	list := make([]map[string]any, steps)
	for i := range list {
		list[i] = map[string]any{"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": spec.RunMS}
		if i > 0 {
			list[i]["after"] = []int{i - 1}
		}
		if spec.Saves {
			list[i]["saves_progress"] = true
		}
		w.fleet.setSize(fmt.Sprintf("%s.0.%d", id, i), cpu)
	}
	body, err := json.Marshal(map[string]any{"spec": string(text), "steps": list})
	if err != nil {
		panic(err)
	}
	return &job{id: id, prefix: prefix, steps: steps, tasks: tasks}, string(body)
}

// traffic hands in small jobs at a steady rate.
type traffic struct {
	mu   sync.Mutex
	jobs []*job // protected by mu
	all  sync.WaitGroup
}

// run hands in a job each interval for a time, and waits for the answers.
func (t *traffic) run(w *world, interval, length time.Duration) {
	began := time.Now()
	for i := 0; time.Since(began) < length; i++ {
		id := fmt.Sprintf("5c0e7a21d9%06x", i)
		j, body := w.newJob(id, 2, 4, 900, work{RunMS: 400})
		j.sentAt = time.Now()
		t.mu.Lock()
		t.jobs = append(t.jobs, j)
		t.mu.Unlock()
		t.all.Go(func() {
			accepted := w.client.submit(i, host, j.prefix, tenantKey, j.id, body)
			t.mu.Lock()
			defer t.mu.Unlock()
			j.accepted = accepted
		})
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * interval)))
	}
	t.all.Wait()
}

// finishTime is finish_s of the settings.
const finishTime = 14 * time.Second

// outcome counts what the accepted jobs of the traffic came to.
type outcome struct {
	sent, accepted, completed int
	noState                   int // not known, or no answer in time
	stalled                   int // nothing ran for 3 s although a task's turn had come and the workers were idle
}

func (o outcome) String() string {
	return fmt.Sprintf("%d small jobs sent, %d accepted; of these %d completed, %d give no state, %d have tasks left and nothing running for 3 s on idle workers",
		o.sent, o.accepted, o.completed, o.noState, o.stalled)
}

// lost reports whether an accepted job was lost.
func (o outcome) lost() bool { return o.noState > 0 || o.stalled > 0 }

// idleLimit is how long a job may have nothing running while a task's turn has come.
const idleLimit = 3 * time.Second

// ask asks for the accepted jobs, as the platform does finish_s after the end of the traffic. The jobs have no due times
// and their steps follow each other, so that a task's turn has come in each that isn't completed and has nothing running.
func (t *traffic) ask(w *world) outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := outcome{sent: len(t.jobs)}
	var left []*job
	states := make([]string, len(t.jobs))
	var calls sync.WaitGroup
	slots := make(chan struct{}, 40) // bounds the calls in flight
	for i, j := range t.jobs {
		if !j.accepted {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			states[i] = w.client.state(host, j.prefix, tenantKey, j.id, 3*time.Second)
			<-slots
		})
	}
	calls.Wait()
	for i, j := range t.jobs {
		if !j.accepted {
			continue
		}
		o.accepted++
		switch states[i] {
		case "":
			o.noState++
		case `{"state":"completed"}`:
			o.completed++
		default:
			left = append(left, j)
		}
	}
	idle := make(chan bool, len(left))
	for _, j := range left {
		go func() {
			idle <- len(w.fleet.startsOf(j.id+".")) < j.steps*j.tasks && w.idleWithTurn(j.id, idleLimit+500*time.Millisecond) > idleLimit
		}()
	}
	for range left {
		if <-idle {
			o.stalled++
		}
	}
	w.log.printf("finish_s after the traffic: %s", o)
	return o
}

// idleWithTurn watches a job for a time. It returns the longest span in which nothing of it ran although its tenant and
// its service had more than half of their capacity free. Call it only while a task's turn has come.
func (w *world) idleWithTurn(id string, length time.Duration) time.Duration {
	longest, since := time.Duration(0), time.Now()
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		used, capacity, running := w.fleet.load(service, id)
		if running || used*2 > capacity {
			since = time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest
}
