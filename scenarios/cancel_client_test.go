package scenarios

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// usualPatience is how long clients wait for an answer unless they give up early.
	usualPatience = 3 * time.Second
	// longPatience outlasts every freeze.
	longPatience = 8 * time.Second
	// connectionTimeout closes a connection without an answer.
	connectionTimeout = 15 * time.Second
	cancelAttempts    = 6
)

// Steps of the jobs. A job that is cancelled would last beyond the bounds of its cancel.
const (
	cancelledJobSteps = 26
	cancelledTaskMS   = 700
	maxKeptJobSteps   = 8
	maxKeptTaskMS     = 700
	// A wide job starts more tasks at a time than there are connections to the workers, so that some of them wait.
	wideJobTasks = 32
	wideTaskMS   = 60
)

// cancelJob is a job of a client and what has been requested for it.
type cancelJob struct {
	id, body string
	rng      *rand.Rand
	// cancelAfter is the time from the first submission to the cancel; 0 for a job that is kept.
	cancelAfter time.Duration
	// givesUp makes the client stop after a submission or cancel that has failed.
	givesUp bool
	// repeatAfter is the time after which an accepted job is submitted again; 0 for never.
	repeatAfter time.Duration

	mu       sync.Mutex
	requests []*jobRequest // protected by mu
	failure  string        // set by the client if a job that is kept did not complete
}

// jobRequest is a request for a job. Its status is 0 without an answer.
type jobRequest struct {
	method         string
	node           *soakNode
	frozen         bool // the node was frozen when the request was sent
	hungUp         bool // the client closed the connection before the answer
	sent, answered time.Time
	status         int
}

func (r *jobRequest) String() string {
	text := fmt.Sprintf("%s %s to %s", clock(r.sent), r.method, r.node.name)
	if r.frozen {
		text += " (frozen)"
	}
	if r.hungUp {
		text += " (hung up)"
	}
	if r.status == 0 {
		return text + ": no answer"
	}
	return fmt.Sprintf("%s: %d at %s", text, r.status, clock(r.answered))
}

// acknowledgement returns the first answer to a cancel that acknowledges it, or nil.
func (j *cancelJob) acknowledgement() *jobRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	var first *jobRequest
	for _, r := range j.requests {
		if r.method == http.MethodDelete && (r.status/100 == 2 || r.status == http.StatusGone) &&
			(first == nil || r.answered.Before(first.answered)) {
			first = r
		}
	}
	return first
}

// rejected reports whether every submission was rejected.
func (j *cancelJob) rejected() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.requests {
		if r.method == http.MethodPost && r.status != http.StatusTooManyRequests && r.status != http.StatusServiceUnavailable {
			return false
		}
	}
	return true
}

// cancelClient submits and cancels jobs. It keeps its connections open.
type cancelClient struct {
	*cancelSoak
	rng  *rand.Rand
	http *http.Client
}

func newCancelClient(s *cancelSoak, number int) *cancelClient {
	return &cancelClient{
		cancelSoak: s, rng: rand.New(rand.NewPCG(s.seed, uint64(1+number))),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
}

// run begins jobs until the faults are over and returns when all requests for them have been made.
func (c *cancelClient) run() {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for {
		j := c.drawJob()
		jobs.Go(func() { c.play(j) })
		select {
		case <-c.stopJobs:
			return
		case <-time.After(time.Duration(200+c.rng.IntN(500)) * time.Millisecond):
		}
	}
}

func (c *cancelClient) drawJob() *cancelJob {
	j := &cancelJob{
		id: fmt.Sprintf("%016x", c.rng.Uint64()), rng: rand.New(rand.NewPCG(c.rng.Uint64(), 0)),
		givesUp: c.rng.IntN(8) == 0,
	}
	steps, taskMS := 3+c.rng.IntN(maxKeptJobSteps-2), 300+c.rng.IntN(maxKeptTaskMS-300)
	if c.rng.IntN(5) < 3 {
		steps, taskMS = cancelledJobSteps, cancelledTaskMS
		j.cancelAfter = time.Duration(200+c.rng.IntN(4500)) * time.Millisecond
	}
	if c.rng.IntN(4) == 0 {
		j.repeatAfter = time.Duration(1000+c.rng.IntN(3000)) * time.Millisecond
	}
	j.body = jobBody(steps, 1+c.rng.IntN(3), taskMS)
	if c.wideJobs && j.cancelAfter == 0 {
		j.body = jobBody(2, wideJobTasks, wideTaskMS)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs = append(c.jobs, j)
	return j
}

// jobBody returns a job of steps one after the other.
func jobBody(steps, tasks, taskMS int) string {
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list = append(list, fmt.Sprintf(`{"count":%d,"cpu":50,"mem_mb":20,"estimate_ms":%d%s}`, tasks, taskMS, after))
	}
	return fmt.Sprintf(`{"spec":"{\"run_ms\":%d}","steps":[%s]}`, taskMS, strings.Join(list, ","))
}

// play submits a job, and then cancels it or waits until it has completed.
func (c *cancelClient) play(j *cancelJob) {
	begin := time.Now()
	last, accepted := c.submit(j, begin)
	if accepted && j.repeatAfter > 0 {
		other := c.drawOther(j.rng, last)
		c.requests.Go(func() {
			time.Sleep(j.repeatAfter)
			c.send(j, http.MethodPost, other, usualPatience, false)
		})
	}
	switch {
	case j.cancelAfter > 0 && accepted:
		time.Sleep(time.Until(begin.Add(j.cancelAfter)))
		c.cancel(j, last)
	case j.cancelAfter > 0 && !j.rejected():
		c.cancel(j, last)
	case accepted:
		c.awaitCompletion(j)
	}
}

// submit submits a job until it is accepted, is to be cancelled or is given up. It returns the node of the last attempt
// and whether the job was accepted.
func (c *cancelClient) submit(j *cancelJob, begin time.Time) (*soakNode, bool) {
	var n *soakNode
	for time.Since(begin) < soakRecoveryTimeout {
		n = c.drawOther(j.rng, n)
		patience := usualPatience
		if j.rng.IntN(4) == 0 {
			patience = time.Duration(200+j.rng.IntN(800)) * time.Millisecond
		}
		if j.cancelAfter > 0 {
			patience = min(patience, time.Until(begin.Add(j.cancelAfter)))
		}
		switch status := c.send(j, http.MethodPost, n, patience, j.rng.IntN(3) == 0); status {
		case http.StatusOK:
			return n, true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Duration(100+j.rng.IntN(400)) * time.Millisecond)
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			if j.cancelAfter > 0 && j.rng.IntN(2) == 0 {
				return n, false
			}
		default:
			j.failure = fmt.Sprint("submission answered with status ", status)
			return n, false
		}
		if j.givesUp || j.cancelAfter > 0 && time.Since(begin) >= j.cancelAfter {
			return n, false
		}
	}
	j.failure = "no submission was answered"
	return n, false
}

// cancel cancels a job, preferably at a frozen node, until a cancel is acknowledged or the client gives up.
func (c *cancelClient) cancel(j *cancelJob, last *soakNode) {
	for range cancelAttempts {
		n := c.drawOther(j.rng, last)
		if j.rng.IntN(5) < 3 {
			for _, other := range c.nodes {
				if other != last && c.isFrozen(other) {
					n = other
				}
			}
		}
		patience := longPatience
		if j.rng.IntN(3) == 0 {
			patience = time.Second
		}
		status := c.send(j, http.MethodDelete, n, patience, false)
		if status/100 == 2 || status == http.StatusGone || j.givesUp {
			return
		}
		last = n
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitCompletion requests the state of a job until it has completed.
func (c *cancelClient) awaitCompletion(j *cancelJob) {
	var n *soakNode
	for deadline := time.Now().Add(soakRecoveryTimeout); time.Now().Before(deadline); {
		n = c.drawOther(j.rng, n)
		status, state := c.request(j, http.MethodGet, n, usualPatience, false)
		switch {
		case status == http.StatusOK && state == "completed":
			return
		case status == http.StatusOK && state != "queued" && state != "active":
			j.failure = "shown as " + state
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	j.failure = "not completed"
}

// send sends a request and returns the status of the answer, 0 without one.
func (c *cancelClient) send(j *cancelJob, method string, n *soakNode, patience time.Duration, hangUp bool) int {
	status, _ := c.request(j, method, n, patience, hangUp)
	return status
}

// request sends a request and waits for its answer, at most for the client's patience. After that the client hangs up
// or leaves the connection open; an answer that still arrives is recorded.
func (c *cancelClient) request(j *cancelJob, method string, n *soakNode, patience time.Duration,
	hangUp bool) (status int, state string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectionTimeout)
	r := &jobRequest{method: method, node: n, frozen: c.isFrozen(n), sent: time.Now()}
	j.mu.Lock()
	j.requests = append(j.requests, r)
	j.mu.Unlock()
	type answer struct {
		status int
		state  string
	}
	answers := make(chan answer, 1)
	c.requests.Go(func() {
		defer cancel()
		status, state := c.exchange(ctx, j, method, n)
		j.mu.Lock()
		r.status, r.answered = status, time.Now()
		j.mu.Unlock()
		answers <- answer{status, state}
	})
	select {
	case a := <-answers:
		return a.status, a.state
	case <-time.After(patience):
		if hangUp {
			j.mu.Lock()
			r.hungUp = true
			j.mu.Unlock()
			cancel()
		}
		return 0, ""
	}
}

// exchange sends a request and reads its answer. The status is 0 without a whole answer.
func (c *cancelClient) exchange(ctx context.Context, j *cancelJob, method string, n *soakNode) (status int, state string) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(j.body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.client+"/w/"+j.id, body)
	if err != nil {
		c.t.Error(err)
		return 0, ""
	}
	req.Host = "h"
	res, err := c.http.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var document struct{ State string }
	if data, err := io.ReadAll(res.Body); err != nil || json.Unmarshal(data, &document) != nil {
		return 0, ""
	}
	return res.StatusCode, document.State
}
