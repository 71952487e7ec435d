package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { scenarios["crowd"] = playCrowd }

// playCrowd lets a tenant send seven times its usual schedules, whose first occurrences are due already, to a queue with advice.
// Like the platform, it kills a process that exceeds the memory of its machine, and starts it again.
func playCrowd(w *World, trouble bool) (string, error) {
	config := baseConfig()
	config["routes"].([]map[string]any)[1]["advice"] = map[string]int64{"decide_ms": 50, "interval_ms": 2, "valid_ms": 3000}
	w.advise = func(_ string, workers []string) [][2]string {
		list := [][2]string{}
		for _, id := range workers {
			list = append(list, [2]string{id, "t-" + id})
		}
		return list
	}
	if err := w.beginWith(9, config); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	schedules := 1
	if trouble {
		schedules = hotFactor
	}
	for i := range schedules {
		j := &Job{ID: fmt.Sprintf("%016x", 0xb000+i), Tenant: tenants[0], Repeats: 100000, PeriodMS: 1000,
			StartAtMS: time.Now().Add(-2 * time.Hour).UnixMilli(), Steps: []Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMS: 1000}}}
		w.submit(w.nodes[i%3], host, plan, key(tenants[0]), `{"ms":1000}`, j)
	}
	const endsOfFault, machinesOfFault = 3, 2
	var mu sync.Mutex
	ends, faulty := map[*Node]int{}, 0
	done := make(chan struct{})
	var wait sync.WaitGroup
	for _, n := range w.nodes {
		wait.Go(func() {
			w.watchMemory(n, done, func() bool {
				mu.Lock()
				defer mu.Unlock()
				if ends[n]++; ends[n] == endsOfFault {
					faulty++
				}
				if faulty == machinesOfFault {
					select {
					case <-done:
					default:
						close(done)
					}
				}
				return true
			})
		})
	}
	finish := time.AfterFunc(90*time.Second, func() {
		mu.Lock()
		defer mu.Unlock()
		select {
		case <-done:
		default:
			close(done)
		}
	})
	defer finish.Stop()
	wait.Wait()
	for n, count := range ends {
		w.logf("%s ended %d times", n.Name, count)
	}
	if faulty >= machinesOfFault {
		return fmt.Sprintf("Fault: on %d of 3 machines the process exceeded %d MB three times, with no disruption there", faulty, memoryMB), nil
	}
	return "", nil
}
