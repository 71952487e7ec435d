package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pollenford/pollenford/internal/topic/topictest"
)

func init() { scenarios["soak"] = playSoak }

type sent struct {
	j         *Job
	prefix    string
	text      string
	accepted  time.Time
	refused   bool // by all answers
	cancelled bool
	hopeless  bool
}

// playSoak sends jobs of all kinds under random disruptions and checks the rules. SEED selects the disruptions.
func playSoak(w *World, trouble bool) (string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	kinds := os.Getenv("KINDS")
	rnd := rand.New(rand.NewPCG(seed, 3))
	config := baseConfig()
	config["tenants"].([]map[string]any)[0]["cap"] = map[string]int{"cpu": 30000}
	if seed%3 == 2 {
		config["services"].([]map[string]any)[1]["preconditions"] = false
	}
	if seed%2 == 1 {
		config["routes"].([]map[string]any)[1]["advice"] = map[string]int{"decide_ms": 50, "interval_ms": 2, "valid_ms": 3000}
	}
	w.advise = func(step string, workers []string) [][2]string {
		list := [][2]string{}
		for _, id := range workers {
			if h := len(id) + int(id[len(id)-1]); h%2 == 0 || strings.Contains(id, "1") {
				list = append(list, [2]string{id, "t-" + id})
			}
		}
		return list
	}
	w.config = config
	if err := w.beginWith(6, config); err != nil {
		return "", err
	}
	if seed%3 == 2 {
		w.mu.Lock()
		for _, m := range w.machines {
			if m.Pool == planPool {
				m.worker.guards = false
			}
		}
		w.mu.Unlock()
	}
	var mu sync.Mutex
	var all []*sent
	var wait sync.WaitGroup
	end := time.Now().Add(50 * time.Second)
	send := func(i int, r *rand.Rand) {
		tenant := tenants[r.IntN(3)]
		j := &Job{ID: fmt.Sprintf("%08x%08x", seed+1, i), Tenant: tenant}
		s := &sent{j: j, prefix: quick, text: fmt.Sprintf(`{"ms":%d}`, 100+r.IntN(1500))}
		if r.IntN(2) == 0 {
			s.prefix = plan
		}
		step := func() Step {
			return Step{Count: 1 + r.IntN(6), CPU: int64(200 + r.IntN(3000)), MemMB: int64(100 + r.IntN(2000)), EstimateMS: 800}
		}
		switch r.IntN(9) {
		case 0, 1:
			st := step()
			st.Gang, st.Count = true, 2+r.IntN(6)
			j.Steps = []Step{st, step()}
			j.Steps[1].After = []int{0}
			j.Steps[0].SavesProgress = r.IntN(2) == 0
		case 2:
			j.Steps = []Step{step(), step()}
			j.Steps[1].After = []int{0}
			j.Repeats, j.PeriodMS, j.StartAtMS = 2+r.IntN(6), int64(300+r.IntN(2000)), time.Now().UnixMilli()+int64(r.IntN(4000))-1000
		case 3:
			st := step()
			st.AntiAffinity, st.Count = 1, 1+r.IntN(5)
			j.Steps = []Step{st}
		case 4:
			st := step()
			st.Requires = "r2"
			j.Steps = []Step{st}
		case 5:
			st := step()
			st.Gang, st.Count = true, 2+r.IntN(4)
			j.Steps = []Step{st}
			j.Repeats, j.PeriodMS, j.StartAtMS = 2+r.IntN(4), int64(300+r.IntN(2000)), time.Now().UnixMilli()
		case 6:
			st := step()
			j.Steps = []Step{st}
			if r.IntN(3) == 0 {
				s.hopeless, s.text = true, fmt.Sprintf(`{"ms":%d,"fails":true}`, 100+r.IntN(300))
			}
		default:
			j.Steps = []Step{step(), step(), step()}
			j.Steps[1].After, j.Steps[2].After = []int{0}, []int{0, 1}
			j.Steps[1].SavesProgress = true
		}
		mu.Lock()
		all = append(all, s)
		mu.Unlock()
		s.refused = true
		for try := range 6 {
			n := w.nodes[r.IntN(len(w.nodes))]
			if !n.alive() {
				continue
			}
			a := w.submit(n, host, s.prefix, key(tenant), s.text, j)
			if a.Status == http.StatusOK {
				s.accepted, s.refused = time.Now(), false
				break
			}
			if a.Status != 429 && a.Status != 503 && a.Status != 400 {
				s.refused = false
			}
			time.Sleep(time.Duration(300+200*try) * time.Millisecond)
		}
		if !s.accepted.IsZero() && r.IntN(6) == 0 {
			time.Sleep(time.Duration(r.IntN(2500)) * time.Millisecond)
			mu.Lock()
			s.cancelled = true
			mu.Unlock()
			for range 8 {
				n := w.nodes[r.IntN(len(w.nodes))]
				a := w.call(n, http.MethodDelete, host, s.prefix+j.ID, key(tenant), nil)
				w.logf("DELETE %s at %s: %d", j.ID, n.Name, a.Status)
				if a.Status == http.StatusOK || a.Status == http.StatusGone {
					w.mu.Lock()
					j.CancelAcked = time.Now()
					w.mu.Unlock()
					break
				}
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
	for i := range 4 {
		j := &Job{ID: fmt.Sprintf("%08xaaaa%04x", seed+1, i), Tenant: tenants[i%3], Steps: []Step{{Count: 3, CPU: 900, MemMB: 100, EstimateMS: 500, LongRunning: true, MaxUnavailable: 1, AntiAffinity: i % 2}}}
		s := &sent{j: j, prefix: []string{quick, plan}[i%2], text: "{}", accepted: time.Now()}
		if w.submit(w.nodes[0], host, s.prefix, key(j.Tenant), s.text, j).Status != http.StatusOK {
			return "", fmt.Errorf("a lasting job is not accepted")
		}
		all = append(all, s)
	}
	if trouble {
		go w.disrupt(rnd, kinds, end)
		if seed%2 == 0 {
			go w.disrupt(rand.New(rand.NewPCG(seed, 4)), kinds, end)
		}
	}
	for i := 0; time.Now().Before(end); i++ {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wait.Go(func() { send(i, r) })
		time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
	}
	wait.Wait()
	time.Sleep(20 * time.Second)
	return w.check(all), nil
}

// disrupt plays random disruptions one after the other.
func (w *World) disrupt(r *rand.Rand, kinds string, end time.Time) {
	list := strings.Split(kinds, ",")
	if kinds == "" {
		list = []string{"kill", "freeze", "cut", "late", "crash", "lost", "term", "dark", "reset", "cutall", "wave", "route", "service", "cap", "cloud", "move"}
	}
	time.Sleep(3 * time.Second)
	for time.Now().Before(end) {
		kind := list[r.IntN(len(list))]
		n := w.owner()
		if n == nil || r.IntN(4) == 0 {
			n = w.nodes[r.IntN(len(w.nodes))]
		}
		d := time.Duration(500+r.IntN(4500)) * time.Millisecond
		w.logf("disruption %s of %s for %v", kind, n.Name, d)
		w.mu.Lock()
		m := w.machines[r.IntN(len(w.machines))]
		x := m.worker
		w.mu.Unlock()
		switch kind {
		case "wave":
			w.mu.Lock()
			number := int64(len(w.waves) + 1)
			var ids []string
			for _, m := range w.machines {
				if r.IntN(3) == 0 {
					ids = append(ids, m.ID)
				}
			}
			w.mu.Unlock()
			if len(ids) > 0 {
				w.orderWave(number, 20, 1+r.IntN(2), ids...)
			}
			time.Sleep(d)
		case "cloud":
			w.cloudAt.set("silent")
			time.Sleep(d)
			w.cloudAt.set("")
		case "route":
			w.change(func(c map[string]any) { c["routes"] = c["routes"].([]map[string]any)[:1] })
			time.Sleep(d)
			w.change(func(c map[string]any) {})
		case "service":
			w.change(func(c map[string]any) { c["routes"].([]map[string]any)[1]["service"] = quickPool })
			time.Sleep(d)
			w.change(func(c map[string]any) {})
		case "cap":
			w.change(func(c map[string]any) {
				c["tenants"].([]map[string]any)[0]["cap"] = map[string]int{"cpu": 8000}
			})
			time.Sleep(d)
			w.change(func(c map[string]any) {})
		case "kill":
			n.kill()
			time.Sleep(d / 4)
			_ = n.start()
		case "term":
			n.signal(syscall.SIGTERM)
			select {
			case <-n.ended:
			case <-time.After(6 * time.Second):
				n.kill()
			}
			_ = n.start()
		case "freeze":
			n.signal(syscall.SIGSTOP)
			time.Sleep(d)
			n.signal(syscall.SIGCONT)
		case "cut":
			n.storeAt.set("silent")
			time.Sleep(d)
			n.storeAt.set("")
		case "cutall":
			for _, n := range w.nodes {
				n.storeAt.set("silent")
			}
			time.Sleep(d)
			for _, n := range w.nodes {
				n.storeAt.set("")
			}
		case "reset":
			n.storeAt.set("reset")
			time.Sleep(d)
			n.storeAt.set("")
		case "late":
			w.mu.Lock()
			if x != nil {
				x.lateStarts = time.Duration(2000+r.IntN(4000)) * time.Millisecond
			}
			w.mu.Unlock()
			time.Sleep(d)
			w.mu.Lock()
			if x != nil {
				x.lateStarts = 0
			}
			w.mu.Unlock()
		case "lost":
			w.store.SetFaults(topictest.Faults{LoseAnswers: 1 + r.IntN(5)})
			time.Sleep(d)
		case "crash":
			w.mu.Lock()
			if x != nil && m.worker == x && x.state == "ready" {
				guards := x.guards
				w.end(x, false)
				m.worker = nil
				time.AfterFunc(d/4, func() {
					w.mu.Lock()
					defer w.mu.Unlock()
					w.store.Put(workerTopic, x.ID, nil)
					w.bringUp(m)
					m.worker.guards = guards
				})
			}
			w.mu.Unlock()
			time.Sleep(d)
		case "dark":
			w.mu.Lock()
			if x != nil {
				x.dark = true
			}
			w.mu.Unlock()
			time.Sleep(d * 2)
			w.mu.Lock()
			if x != nil {
				x.dark = false
			}
			w.mu.Unlock()
		}
		time.Sleep(time.Duration(500+r.IntN(4000)) * time.Millisecond)
	}
}

// check returns what broke a rule.
func (w *World) check(all []*sent) string {
	var broken []string
	fail := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	w.mu.Lock()
	byTask := map[string][]*Run{}
	byID := map[string]*sent{}
	for _, s := range all {
		byID[s.j.ID] = s
	}
	for _, r := range w.starts {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	doneAt := func(task string) time.Time {
		var first time.Time
		for _, r := range byTask[task] {
			if r.End == "done" && (first.IsZero() || r.EndedAt.Before(first)) {
				first = r.EndedAt
			}
		}
		return first
	}
	for task, runs := range byTask {
		j, step, k := w.step(task)
		if j == nil {
			fail("UNASKED: %s", task)
			continue
		}
		s := byID[j.ID]
		if s == nil {
			continue
		}
		failed := 0
		for i, r := range runs {
			if r.Spec != s.text {
				fail("UNASKED: %s spec %q", task, r.Spec)
			}
			if !j.CancelAcked.IsZero() && r.StartedAt.After(j.CancelAcked.Add(cancelTime)) {
				fail("UNASKED: %s run %d started %v after its cancel", task, r.Number, r.StartedAt.Sub(j.CancelAcked))
			}
			if !j.CancelAcked.IsZero() && r.StartedAt.Before(j.CancelAcked) && (r.End == "" || r.EndedAt.After(j.CancelAcked.Add(cancelTime+stopTime))) {
				fail("UNASKED?: %s run %d on %s ran %v after its cancel (%s)", task, r.Number, r.Worker.ID, r.EndedAt.Sub(j.CancelAcked), r.End)
			}
			for _, other := range runs[:i] {
				if other.EndedAt.IsZero() || other.EndedAt.After(r.StartedAt) {
					fail("TWICE: %s runs %d (%s) and %d (%s) overlap", task, other.Number, other.Worker.ID, r.Number, r.Worker.ID)
				}
				if other.End == "done" && !other.AckedAt.IsZero() && !other.leaseLapsed && r.StartedAt.After(other.EndedAt) {
					fail("TWICE: %s run %d started after run %d was done", task, r.Number, other.Number)
				}
				if other.Number >= r.Number {
					fail("numbers: %s run %d after %d", task, r.Number, other.Number)
				}
			}
			if failed >= 4 && !step.LongRunning {
				fail("BUDGET: %s run %d after %d failures", task, r.Number, failed)
			}
			if r.End == "failed" && !r.AckedAt.IsZero() && !r.leaseLapsed {
				failed++
			}
			for _, p := range step.After {
				for index := range j.Steps[p].Count {
					before := doneAt(fmt.Sprintf("%s.%d.%d.%d", j.ID, k, p, index))
					if before.IsZero() || before.After(r.StartedAt) {
						fail("ORDER: %s run %d started before step %d was done", task, r.Number, p)
					}
				}
			}
			if j.Repeats > 0 {
				if due := time.UnixMilli(j.StartAtMS + int64(k)*j.PeriodMS); r.StartedAt.Before(due.Add(-250 * time.Millisecond)) {
					fail("ORDER: %s started %v before it was due", task, due.Sub(r.StartedAt))
				}
			}
			if r.Number > 1 && r.End == "alone" {
				w.logf("note: %s run %d ended alone", task, r.Number)
			}
		}
	}
	w.mu.Unlock()
	for _, s := range all {
		if s.accepted.IsZero() {
			if s.refused {
				w.mu.Lock()
				for task := range byTask {
					if strings.HasPrefix(task, s.j.ID+".") {
						fail("REFUSED: %s ran", task)
					}
				}
				w.mu.Unlock()
			}
			continue
		}
		state := w.state(w.nodes[0], s.prefix, s.j)
		missing := 0
		for k := range max(1, s.j.Repeats) {
			for i := range s.j.Steps {
				for index := range s.j.Steps[i].Count {
					if doneAt(fmt.Sprintf("%s.%d.%d.%d", s.j.ID, k, i, index)).IsZero() {
						missing++
					}
				}
			}
		}
		switch {
		case state == "completed" && missing > 0:
			fail("MIXED: %s is completed, %d tasks are not done", s.j.ID, missing)
		case s.cancelled:
		case s.j.Steps[0].LongRunning:
			if state != "active" || w.running(s.j) != s.j.Steps[0].Count {
				fail("LOST: lasting %s is %s with %d tasks", s.j.ID, state, w.running(s.j))
			}
		case s.hopeless && state != "failed":
			fail("LOST: hopeless %s is %s", s.j.ID, state)
		case !s.hopeless && state != "completed":
			fail("LOST: %s is %s, %d tasks are not done (%+v)", s.j.ID, state, missing, s.j)
		}
	}
	// What ran on workers and of tenants at each start.
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.starts {
		j, step, k := w.step(r.Task)
		if j == nil {
			continue
		}
		cpu, mem, tenant, same := int64(0), int64(0), int64(0), 0
		for _, o := range w.starts {
			if o.StartedAt.After(r.StartedAt) || !o.EndedAt.IsZero() && !o.EndedAt.After(r.StartedAt) {
				continue
			}
			oj, os, ok := w.step(o.Task)
			if oj == nil {
				continue
			}
			if o.Worker == r.Worker {
				cpu, mem = cpu+os.CPU, mem+os.MemMB
				if oj == j && os == step && ok == k {
					same++
				}
			}
			if oj.Tenant == j.Tenant {
				tenant += os.CPU
			}
		}
		if cpu > 16000 || mem > 32768 {
			fail("LIMIT: %s on %s: cpu %d mem %d", r.Task, r.Worker.ID, cpu, mem)
		}
		if step.AntiAffinity > 0 && same > step.AntiAffinity {
			fail("ROUTE: %s on %s beyond anti_affinity", r.Task, r.Worker.ID)
		}
		if step.Requires != "" && !strings.Contains(strings.Join(r.Worker.machine.Labels, " "), step.Requires) {
			fail("ROUTE: %s on %s without %s", r.Task, r.Worker.ID, step.Requires)
		}
		if j.Tenant == tenants[0] && tenant > 33000+step.CPU {
			fail("QUOTA: %s: %d", r.Task, tenant)
		}
	}
	for number, machines := range w.waves {
		state := w.waveState(number)
		for _, id := range machines {
			if began := w.upkeeps[id][number]; !began && state == "completed" {
				fail("MIXED: wave %d is completed without %s", number, id)
			}
		}
		if state != "completed" {
			w.logf("note: wave %d of %v is %s", number, machines, state)
		}
	}
	for _, b := range broken {
		w.logf("check: %s", b)
	}
	w.logf("jobs %d, starts %d, broken %d", len(all), len(w.starts), len(broken))
	if len(broken) > 0 {
		return fmt.Sprintf("%d: %s", len(broken), broken[0])
	}
	return ""
}
