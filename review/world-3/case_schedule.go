package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["schedule"] = playSchedule }

// The tenant with a cap usually has one schedule; in trouble it sends hotFactor times as many.
const (
	hotFactor  = 7
	finishTime = 14 * time.Second
)

// playSchedule lets a tenant that is at its cap send seven times its usual schedules, whose first occurrences are due already,
// and asks for the jobs of the other tenants.
func playSchedule(w *World, trouble bool) (string, error) {
	config := baseConfig()
	config["tenants"].([]map[string]any)[0]["cap"] = map[string]int{"cpu": 4000}
	if err := w.beginWith(9, config); err != nil {
		return "", err
	}
	other := tenants[1]
	var finished, long []*Job
	for i := range 12 {
		j := &Job{ID: fmt.Sprintf("%016x", 0xa000+i), Tenant: other, Steps: []Step{{Count: 2, CPU: 500, MemMB: 64, EstimateMS: 200}}}
		text := `{"ms":200}`
		if i%2 == 0 {
			j.Steps[0].EstimateMS, text = 60000, `{"ms":60000}`
			long = append(long, j)
		} else {
			finished = append(finished, j)
		}
		if a := w.submit(w.nodes[i%3], host, quick, key(other), text, j); a.Status != http.StatusOK {
			return "", fmt.Errorf("job of another tenant: %d", a.Status)
		}
	}
	for _, j := range finished {
		if !w.awaitState(w.nodes[0], quick, j, "completed", 5*time.Second) {
			return "", fmt.Errorf("job %s is not completed", j.ID)
		}
	}
	schedules := 1
	if trouble {
		schedules = hotFactor
	}
	for i := range schedules {
		j := &Job{ID: fmt.Sprintf("%016x", 0xb000+i), Tenant: tenants[0], Repeats: 100000, PeriodMS: 1000,
			StartAtMS: time.Now().Add(-2 * time.Hour).UnixMilli(), Steps: []Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 1000}}}
		w.submit(w.nodes[i%3], host, quick, key(tenants[0]), `{"ms":1000}`, j)
	}
	time.Sleep(contactTime)
	// The others go on: new jobs, and cancels of old ones.
	var wait sync.WaitGroup
	var mu sync.Mutex
	refused, unacked := 0, 0
	for i := range 20 {
		wait.Go(func() {
			j := &Job{ID: fmt.Sprintf("%016x", 0xc000+i), Tenant: other, Steps: []Step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 200}}}
			if w.submit(w.nodes[i%3], host, quick, key(other), `{"ms":200}`, j).Status != http.StatusOK {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
		if i < len(long) {
			wait.Go(func() {
				began := time.Now()
				for try := 0; time.Since(began) < ackTime; try++ {
					n := w.nodes[(i+try)%3]
					a := w.call(n, http.MethodDelete, host, quick+long[i].ID, key(other), nil)
					w.logf("DELETE %s at %s: %d %s", long[i].ID, n.Name, a.Status, a.Body)
					if (a.Status == http.StatusOK || a.Status == http.StatusGone) && time.Since(began) < ackTime {
						return
					}
				}
				mu.Lock()
				defer mu.Unlock()
				unacked++
			})
		}
		time.Sleep(500 * time.Millisecond)
	}
	wait.Wait()
	w.logf("new jobs that were not accepted: %d of 20; cancels without an answer after %v: %d of %d", refused, ackTime, unacked, len(long))
	time.Sleep(finishTime)
	unanswered := 0
	for i, j := range finished {
		state := ""
		for try := 0; try < 3 && state == ""; try++ {
			n := w.nodes[(i+try)%3]
			state = w.state(n, quick, j)
			w.logf("GET %s at %s: %q", j.ID, n.Name, state)
		}
		if state == "" {
			unanswered++
		}
		if i == 2 && unanswered == 3 {
			break // enough is seen
		}
	}
	if unanswered > 0 {
		return fmt.Sprintf("LOST: %d accepted jobs get no answer %v after the end of the traffic, at three nodes in turn", unanswered, finishTime), nil
	}
	return "", nil
}
