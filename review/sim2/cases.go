package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the settings.
const (
	visibleTime     = 3 * time.Second // visible_ms
	configApplyTime = 2 * time.Second // config_apply_ms
)

// begin starts three nodes, the configuration and waits until the nodes are ready.
func (d *deployment) begin(routes ...route) error {
	for i, zone := range []string{"ie-a", "ie-b", "ie-c"} {
		if _, err := d.addNode(fmt.Sprintf("edge-%s-%d", zone, i+1), zone, 0.4); err != nil {
			return err
		}
	}
	d.publish(routes...)
	return d.awaitReady()
}

// awaitCompleted waits until the state of a job is "completed".
func (d *deployment) awaitCompleted(prefix string, job submission, wait time.Duration) error {
	ok := poll(wait, func() bool {
		time.Sleep(200 * time.Millisecond)
		status, body := d.nodes[0].call(http.MethodGet, prefix+job.id, clientKey, nil)
		var answer struct{ State string }
		return status == http.StatusOK && json.Unmarshal(body, &answer) == nil && answer.State == "completed"
	})
	if !ok {
		return fmt.Errorf("job %s is not completed", job.id)
	}
	return nil
}

// checkPending asks each node for the number of pending jobs of a queue and compares it with those that were accepted over
// visible_ms + 2 s before and have no start. It returns the first answer that is under half of them.
func (d *deployment) checkPending(prefix string, jobs []submission) *outcome {
	for _, n := range d.nodes {
		asked := time.Now()
		status, body := n.call(http.MethodGet, prefix, clientKey, nil)
		var answer struct{ Pending *int }
		if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Pending == nil {
			continue // the rule judges answers
		}
		waiting := 0
		for _, job := range jobs {
			if !job.acceptedAt.IsZero() && asked.Sub(job.acceptedAt) > visibleTime+2*time.Second && len(d.fleet.startsOf(job.id)) == 0 {
				waiting++
			}
		}
		d.rec.note("%s gives %d pending; %d accepted jobs have not begun", n.name, *answer.Pending, waiting)
		if 2**answer.Pending < waiting {
			return &outcome{true, fmt.Sprintf("MIXED: %s gives %d jobs as pending, %d have not begun", n.name, *answer.Pending, waiting)}
		}
	}
	return nil
}

// playPending: one of seven workers is lost for good; it is the only one of the kind that some jobs require.
func playPending(d *deployment, trouble bool) (outcome, error) {
	const prefix = "/puxa400/"
	var special *worker
	for i := range 7 {
		label := "a"
		if i == 6 {
			label = "b"
		}
		w, err := d.fleet.addWorker(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("m-0a3f%d", i), "huvo11a", "ie-a", 16000, label, fmt.Sprintf("r1-%d", i/4+1))
		if err != nil {
			return outcome{}, err
		}
		special = w
	}
	if err := d.begin(route{name: "r-4jcda9r", prefix: prefix, service: "huvo11a"}); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until the nodes are in touch
	task := step{Count: 1, CPU: 1000, MemMB: 256, Requires: "b"}
	if err := d.awaitCompleted(prefix, d.submit(prefix, clientKey, 1, 500*time.Millisecond, task), 10*time.Second); err != nil {
		return outcome{}, err
	}

	// Without a disruption, jobs that wait for room are given as pending.
	first := d.submit(prefix, clientKey, 2, 8*time.Second, step{Count: 1, CPU: 16000, MemMB: 256, Requires: "b"})
	var jobs []submission
	for i := range 4 {
		jobs = append(jobs, d.submit(prefix, clientKey, 10+i, 500*time.Millisecond, task))
	}
	time.Sleep(visibleTime + 2500*time.Millisecond)
	if broken := d.checkPending(prefix, jobs); broken != nil {
		return *broken, nil
	}
	if err := d.awaitCompleted(prefix, first, 15*time.Second); err != nil {
		return outcome{}, err
	}
	if err := d.awaitCompleted(prefix, jobs[3], 15*time.Second); err != nil {
		return outcome{}, err
	}

	if trouble {
		special.goDark()
		d.rec.note("worker %s is lost for good", special.id)
	}
	for i := range 6 {
		jobs = append(jobs, d.submit(prefix, clientKey, 20+i, 500*time.Millisecond, task))
	}
	time.Sleep(visibleTime + 2500*time.Millisecond)
	for range 15 {
		if broken := d.checkPending(prefix, jobs); broken != nil {
			return *broken, nil
		}
		time.Sleep(time.Second)
	}
	return outcome{false, "no answer was under half"}, nil
}

// playKind: three of twenty workers crash and start again under their IDs, as another kind.
func playKind(d *deployment, trouble bool) (outcome, error) {
	const prefix = "/puxa400/"
	var workers []*worker
	for i := range 20 {
		w, err := d.fleet.addWorker(fmt.Sprintf("i-7f3a91%02d", i), fmt.Sprintf("m-0a3%02d", i), "huvo11a", "ie-a", 2000, "a", fmt.Sprintf("r1-%d", i/4+1))
		if err != nil {
			return outcome{}, err
		}
		workers = append(workers, w)
	}
	if err := d.begin(route{name: "r-4jcda9r", prefix: prefix, service: "huvo11a"}); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until the nodes are in touch
	// 20 tasks a second fit; 30 a second come for ten seconds.
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 30 {
			d.submit(prefix, clientKey, i, 2*time.Second, step{Count: 10, CPU: 1000, MemMB: 256, Requires: "a"})
			time.Sleep(300 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		crashed := []*worker{workers[3], workers[10], workers[17]}
		for _, w := range crashed {
			w.crash()
			d.rec.note("worker %s crashes", w.id)
		}
		time.Sleep(800 * time.Millisecond)
		for _, w := range crashed { // 0.9, 1.0 and 1.1 s after the crash
			time.Sleep(100 * time.Millisecond)
			if err := w.start([]string{"b", w.labels[1]}); err != nil {
				return outcome{}, err
			}
			d.rec.note("worker %s has started again, with labels %v", w.id, w.labels)
		}
	}
	<-done
	time.Sleep(2 * time.Second)
	return d.checkLabels("a")
}

// checkLabels checks that each start was on a worker with the label that its job requires.
func (d *deployment) checkLabels(required string) (outcome, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	wrong := 0
	var first *startRecord
	for _, s := range d.fleet.starts {
		if !slices.Contains(s.Labels, required) {
			if wrong++; first == nil {
				first = s
			}
		}
	}
	if len(d.fleet.starts) == 0 {
		return outcome{}, errors.New("nothing was started")
	}
	if wrong > 0 {
		return outcome{true, fmt.Sprintf("ROUTE: %d of %d starts on a worker without the label %q, the first of %s on %s %v",
			wrong, len(d.fleet.starts), required, first.Task, first.Worker, first.Labels)}, nil
	}
	return outcome{false, fmt.Sprintf("%d starts, each on a worker with the label", len(d.fleet.starts))}, nil
}

// playAnonymous: a route is replaced by one for the same addresses that is anonymous, so that calls carry no key any more.
func playAnonymous(d *deployment, trouble bool) (outcome, error) {
	const prefix = "/puxa400/"
	for i := range 4 {
		_, err := d.fleet.addWorker(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("m-0a3f%d", i), "huvo11a", "ie-a", 16000, "a", "r1-1")
		if err != nil {
			return outcome{}, err
		}
	}
	if err := d.begin(route{name: "r-4jcda9r", prefix: prefix, service: "huvo11a"}); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until the nodes are in touch
	var jobs []submission
	for i := range 3 {
		jobs = append(jobs, d.submit(prefix, clientKey, i, 0, step{Count: 2, CPU: 1000, MemMB: 256, LongRunning: true}))
	}
	key := clientKey
	if trouble {
		d.publish(route{name: "r-bkf83fg", prefix: prefix, service: "huvo11a", anonymous: true})
		key = ""
	}
	time.Sleep(configApplyTime + visibleTime + time.Second)
	answered := 0
	for _, job := range jobs {
		for _, n := range d.nodes {
			status, _ := n.call(http.MethodGet, prefix+job.id, key, nil)
			if status == http.StatusGone {
				return outcome{true, fmt.Sprintf("LOST: %s answers 410 for job %s, which was accepted and not cancelled", n.name, job.id)}, nil
			}
			if status == http.StatusOK {
				answered++
			}
		}
	}
	if answered == 0 {
		return outcome{}, errors.New("no question was answered")
	}
	return outcome{false, fmt.Sprintf("%d answers with a state", answered)}, nil
}
