package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Names of the small deployment that all cases use.
const (
	host      = "desk.example"
	quick     = "/quick/"
	plan      = "/plan/"
	quickPool = "yard"
	planPool  = "round"
)

// tenants are the organisations with one key each.
var tenants = []string{"amber", "birch", "cedar"}

func key(tenant string) string { return "key-of-" + tenant }

// baseConfig returns a configuration with two queues, two pools and three tenants without limits.
func baseConfig() map[string]any {
	route := func(name, prefix, service string, priority int) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": priority, "service": service, "max_attempts": 4, "slack_factor": 1.6}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "preconditions": true, "standby": false}
	}
	list := []map[string]any{}
	for _, name := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": []string{key(name)}, "weight": 10, "cap": map[string]int{}})
	}
	return map[string]any{
		"routes":   []map[string]any{route("r-quick", quick, quickPool, 0), route("r-plan", plan, planPool, 1)},
		"services": []map[string]any{service(quickPool), service(planPool)},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  list,
	}
}

// begin starts a deployment of three nodes and the given number of workers in each pool, and waits until a job is accepted.
func (w *World) begin(workers int) error { return w.beginWith(workers, baseConfig()) }

func (w *World) beginWith(workers int, config map[string]any) error {
	w.publish(config)
	zones := []string{"ie-a", "ie-b", "ie-c"}
	for _, pool := range []string{quickPool, planPool} {
		for i := range workers {
			w.addMachine(fmt.Sprintf("m-%s-%d", pool, i+1), pool, zones[i%3], 16000, 32768, "a", fmt.Sprintf("r%d", i/4+1))
		}
	}
	for i, zone := range zones {
		if _, err := w.startNode(fmt.Sprintf("edge-%d", i+1), zone, 284); err != nil {
			return err
		}
	}
	for i := range 100 {
		j := &Job{ID: fmt.Sprintf("%016x", 0xfff0000+i), Tenant: tenants[0], Steps: []Step{{Count: 1, CPU: 100, MemMB: 64, EstimateMS: 10}}}
		if w.submit(w.nodes[0], host, quick, key(tenants[0]), `{"ms":10}`, j).Status == http.StatusOK && w.awaitState(w.nodes[0], quick, j, "completed", 3*time.Second) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the system serves no job")
}

// state returns the state of a job that a node shows, "gone" for 410, and "" without an answer.
func (w *World) state(n *Node, prefix string, j *Job) string {
	a := w.call(n, http.MethodGet, host, prefix+j.ID, key(j.Tenant), nil)
	if a.Status == http.StatusGone {
		return "gone"
	}
	var body struct{ State string }
	_ = json.Unmarshal([]byte(a.Body), &body)
	return body.State
}

// awaitState waits until a node shows a state of a job.
func (w *World) awaitState(n *Node, prefix string, j *Job, state string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.state(n, prefix, j) == state {
			return true
		}
	}
	return false
}

// running returns the number of tasks of a job that run.
func (w *World) running(j *Job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, r := range w.starts {
		if job, _, _ := w.step(r.Task); job == j && r.End == "" {
			n++
		}
	}
	return n
}

// others returns the nodes that are not the owner.
func (w *World) others() []*Node {
	var list []*Node
	owner := w.owner()
	for _, n := range w.nodes {
		if n != owner {
			list = append(list, n)
		}
	}
	return list
}
