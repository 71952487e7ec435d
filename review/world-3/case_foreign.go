package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { scenarios["foreign"] = playForeign }

// open is the prefix of a queue that is anonymous.
const openPrefix = "/open/"

// playForeign removes the queue of a job that has ended, kills the owner, and asks for the job without a key at another queue.
func playForeign(w *World, trouble bool) (string, error) {
	config := baseConfig()
	open := map[string]any{"name": "r-open", "host": host, "path_prefix": openPrefix, "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 0, "service": quickPool, "max_attempts": 4, "slack_factor": 1.6, "anonymous": true}
	config["routes"] = append(config["routes"].([]map[string]any), open)
	w.config = config
	if err := w.beginWith(4, config); err != nil {
		return "", err
	}
	j := &Job{ID: "00000000000fa001", Tenant: tenants[1], Steps: []Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 50}}}
	if a := w.submit(w.nodes[0], host, plan, key(j.Tenant), `{"ms":50}`, j); a.Status != http.StatusOK {
		return "", fmt.Errorf("submit: %d", a.Status)
	}
	if !w.awaitState(w.nodes[0], plan, j, "completed", 5*time.Second) {
		return "", fmt.Errorf("the job is not completed")
	}
	w.change(func(c map[string]any) {
		routes := c["routes"].([]map[string]any)
		c["routes"] = []map[string]any{routes[0], routes[2]}
	})
	time.Sleep(applyTime + contactTime)
	if trouble {
		owner := w.owner()
		owner.signal(syscall.SIGKILL)
		<-owner.ended
		time.Sleep(500 * time.Millisecond)
		if err := owner.start(); err != nil {
			return "", err
		}
		time.Sleep(2 * contactTime)
	}
	for _, n := range w.nodes {
		a := w.call(n, http.MethodGet, host, openPrefix+j.ID, "", nil)
		w.logf("GET %s%s without a key at %s: %d %s", openPrefix, j.ID, n.Name, a.Status, a.Body)
		if a.Status == http.StatusOK {
			return "MIXED: a job that nobody submitted to the queue is shown, and it is another tenant's", nil
		}
	}
	return "", nil
}
