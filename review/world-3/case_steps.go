package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["steps"] = playSteps }

// playSteps lets a tenant that is at its cap send jobs of many steps, in bodies of legal size, and asks for another tenant's job.
func playSteps(w *World, trouble bool) (string, error) {
	config := baseConfig()
	config["tenants"].([]map[string]any)[0]["cap"] = map[string]int{"cpu": 4000}
	if err := w.beginWith(9, config); err != nil {
		return "", err
	}
	j := &Job{ID: "00000000000fb001", Tenant: tenants[1], Steps: []Step{{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 50}}}
	if a := w.submit(w.nodes[0], host, quick, key(j.Tenant), `{"ms":50}`, j); a.Status != http.StatusOK || !w.awaitState(w.nodes[0], quick, j, "completed", 5*time.Second) {
		return "", fmt.Errorf("the job is not completed")
	}
	count := 1
	if trouble {
		count = hotFactor
	}
	var wait sync.WaitGroup
	for i := range count {
		big := &Job{ID: fmt.Sprintf("%016x", 0xb000+i), Tenant: tenants[0]}
		for range 3900 {
			big.Steps = append(big.Steps, Step{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 1000})
		}
		wait.Go(func() { w.submit(w.nodes[i%3], host, quick, key(tenants[0]), `{"ms":1000}`, big) })
	}
	wait.Wait()
	time.Sleep(finishTime)
	asked, answered := 0, 0
	for i := range 15 {
		a := w.state(w.nodes[i%3], quick, j)
		w.logf("GET %s: %q", j.ID, a)
		if asked++; a != "" {
			answered++
		}
	}
	if answered*2 < asked {
		return fmt.Sprintf("LOST: %d of %d queries for an accepted job got no answer", asked-answered, asked), nil
	}
	return "", nil
}
