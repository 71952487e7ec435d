package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["advice"] = playAdvice }

// ticketTime is how long a ticket of the queue is valid.
const ticketTime = 30 * time.Second

// playAdvice crashes a worker that runs a lasting task of a queue with advice. The only other allowed worker is full, and the
// crashed machine is back with an allowed worker after three seconds.
func playAdvice(w *World, trouble bool) (string, error) {
	config := baseConfig()
	config["routes"].([]map[string]any)[1]["advice"] = map[string]int64{"decide_ms": 50, "interval_ms": 2, "valid_ms": ticketTime.Milliseconds()}
	w.adviceMS = ticketTime.Milliseconds()
	w.advise = func(step string, workers []string) [][2]string {
		list := [][2]string{}
		for _, id := range workers {
			all := strings.Contains(id, "m-round-1-") || strings.Contains(id, "m-round-2-")
			if all {
				list = append(list, [2]string{id, "t-" + id})
			}
		}
		return list
	}
	if err := w.beginWith(4, config); err != nil {
		return "", err
	}
	// A lasting task of 14 cores leaves no room for one of 4 cores on the first of the two allowed workers.
	tenant := tenants[1]
	jobs := []*Job{}
	for i, cpu := range []int64{14000, 4000} {
		j := &Job{ID: fmt.Sprintf("%016x", 0xa000+i), Tenant: tenant, Steps: []Step{{Count: 1, CPU: cpu, MemMB: 1000, EstimateMS: 1000, LongRunning: true}}}
		jobs = append(jobs, j)
		if a := w.submit(w.nodes[i], host, plan, key(tenant), `{}`, j); a.Status != http.StatusOK {
			return "", fmt.Errorf("submit: %d", a.Status)
		}
		for end := time.Now().Add(5 * time.Second); w.running(j) == 0; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return "", fmt.Errorf("job %s does not run", j.ID)
			}
		}
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(5 * time.Second)
		if w.running(jobs[0]) == 1 && w.running(jobs[1]) == 1 {
			return "", nil
		}
		return "LOST: a task does not run", nil
	}
	w.mu.Lock()
	var m *Machine
	for _, c := range w.machines {
		if c.ID == "m-round-2" {
			m = c
		}
	}
	x := m.worker
	lost := jobs[0]
	for _, r := range x.runs {
		lost, _, _ = w.step(r.Task)
	}
	w.logf("worker %s crashes", x.ID)
	w.end(x, false)
	m.worker, m.State = nil, "down"
	time.AfterFunc(3*time.Second, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.store.Put(workerTopic, x.ID, nil)
		w.bringUp(m)
	})
	w.mu.Unlock()
	// From six seconds after its last run, and after a calm of four seconds, the task may not wait for three seconds.
	crashed := time.Now()
	var waits time.Duration
	for time.Since(crashed) < 30*time.Second {
		time.Sleep(50 * time.Millisecond)
		if w.running(lost) > 0 {
			w.logf("%s runs again %v after the crash", lost.ID, time.Since(crashed))
			return "", nil
		}
		if calm := crashed.Add(3 * time.Second).Add(7 * time.Second); time.Now().After(calm) {
			waits = time.Since(calm)
		}
		if waits > 3*time.Second {
			break
		}
	}
	time.Sleep(10 * time.Second)
	w.logf("%s has %d tasks running %v after the crash", lost.ID, w.running(lost), time.Since(crashed))
	return fmt.Sprintf("LOST: the lasting task of %s has not run for %v, and worker i-m-round-2-2 is free and allowed", lost.ID, time.Since(crashed)), nil
}
