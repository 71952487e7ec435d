package scenarios

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Crowds whose requests are whole and legal, so that the owner keeps what they leave behind.
const (
	acceptedClients = 40
	// acceptedRequestTimeout is the time that clients wait for an answer.
	acceptedRequestTimeout = 3 * time.Second
)

// acceptedConfig has a crowd's organisation and that of ordinary callers.
const acceptedConfig = `{"version":1,
"routes":[{"name":"walk-in","host":"h","path_prefix":"/w/","service":"quick","priority":1,"max_attempts":3,"slack_factor":2,"target_latency_ms":600}],
"services":[{"name":"quick","preconditions":true}],
"tenants":[{"name":"crowd","api_keys":["crowd-key"],"weight":1,"cap":{}},{"name":"ordinary","api_keys":["ordinary-key"],"weight":1,"cap":{}}]}`

// acceptedCase describes the requests of a crowd.
type acceptedCase struct {
	name string
	// requests is the number of requests of all clients, request returns the method, job and body of one.
	requests int
	request  func(i int) (method, job, body string)
}

// submits returns requests that submit one job each.
func submits(body string) func(int) (method, job, body string) {
	return func(i int) (string, string, string) { return http.MethodPost, fmt.Sprintf("%016x", i), body }
}

// waitingSteps returns a job that no worker can run, with the given properties of each step.
func waitingSteps(job string, steps int, properties string) string {
	step := `{"count":1,"requires":"absent"` + properties + `}`
	return `{` + job + `"steps":[` + strings.TrimSuffix(strings.Repeat(step+",", steps), ",") + `]}`
}

// chain returns a job whose steps each follow all earlier ones.
func chain(steps int) string {
	out := make([]string, steps)
	after := ""
	for i := range out {
		out[i] = fmt.Sprintf(`{"count":1,"requires":"absent","after":[%s]}`, strings.TrimPrefix(after, ","))
		after += fmt.Sprintf(",%d", i)
	}
	return `{"steps":[` + strings.Join(out, ",") + `]}`
}

// manyForms returns the jobs of several cases in turn.
func manyForms(bodies ...string) func(int) (method, job, body string) {
	return func(i int) (string, string, string) { return submits(bodies[i%len(bodies)])(i) }
}

// unknownJobs cancels and queries jobs that were never submitted, and repeats the submissions of a few.
func unknownJobs(i int) (method, job, body string) {
	switch i % 4 {
	case 0:
		return http.MethodGet, fmt.Sprintf("unknown-%d", i), ""
	case 1:
		return http.MethodPost, fmt.Sprintf("repeated-%d", i%100), `{"steps":[{"count":1,"cpu":100,"mem_mb":10}]}`
	}
	return http.MethodDelete, fmt.Sprintf("unknown-%d-%s", i, strings.Repeat("x", 200)), ""
}

// longAddresses submits jobs at addresses with a query of the largest accepted size.
func longAddresses(i int) (method, job, body string) {
	method, job, body = submits(`{"steps":[{"count":1,"requires":"absent"}]}`)(i)
	return method, job + "?" + strings.Repeat("x", 14_000), body
}

func acceptedCases() []acceptedCase {
	const never = `"repeats":1000000,"period_ms":1,"start_at_ms":1,`
	return []acceptedCase{
		{"jobs of many tasks", 1_200, submits(`{"steps":[{"count":4000}]}`)},
		{"jobs of many tasks that wait", 1_200, submits(`{"steps":[{"count":4000,"requires":"absent"}]}`)},
		{"small jobs", 48_000, submits(`{"steps":[{"count":1,"cpu":100,"mem_mb":10}]}`)},
		{"small jobs that wait", 48_000, submits(`{"steps":[{"count":1,"requires":"absent"}]}`)},
		{"long specifications and many steps", 800, submits(waitingSteps(`"spec":"`+strings.Repeat("x", 4_000)+`",`, 1_000, ""))},
		{"schedules, chains and gangs", 1_200, manyForms(waitingSteps(never, 1, ""), waitingSteps(never, 1, `,"long_running":true`),
			chain(150), `{"steps":[{"count":4000,"gang":true,"requires":"absent"}]}`)},
		{"unknown and repeated jobs", 12_000, unknownJobs},
		{"long addresses", 12_000, longAddresses},
	}
}

// newAcceptedNode starts a platform and a node for a crowd of accepted requests.
func newAcceptedNode(t *testing.T) *crowdNode {
	return startCrowdNode(t, &crowdNode{t: t, key: "ordinary-key"}, acceptedConfig, crowdMemoryMB, manyFDs)
}

// accept sends the requests of a crowd to an address, all clients at once, each on a connection of its own. Answers do not
// matter.
func (n *crowdNode) accept(c acceptedCase, address string) {
	var clients sync.WaitGroup
	for client := range acceptedClients {
		clients.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			for i := client; i < c.requests; i += acceptedClients {
				method, job, body := c.request(i)
				n.sendAccepted(transport, method, "http://"+address+"/w/"+job, body)
			}
		})
	}
	clients.Wait()
}

func (n *crowdNode) sendAccepted(transport http.RoundTripper, method, url, body string) {
	ctx, stop := context.WithTimeout(n.t.Context(), acceptedRequestTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		n.t.Error(err)
		return
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer crowd-key")
	res, err := transport.RoundTrip(req)
	if err != nil {
		return // the node may close the connection
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body) // as above
}

// watched runs a function while the node's usage is recorded, and checks the bounds after it.
func (n *crowdNode) watched(phase string, run func()) {
	n.t.Helper()
	n.peakRSS.Store(0)
	n.peakFDs.Store(0)
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { n.watch(stop) })
	run()
	close(stop)
	watcher.Wait()
	n.checkUsage(phase, manyFDs)
}

// kill ends the process of the node.
func (n *crowdNode) kill() {
	_ = n.process.Process.Signal(syscall.SIGKILL) // fails if it has ended already
	_ = n.process.Wait()
}

// replace kills the node and starts a successor, which reads what the store holds.
func (n *crowdNode) replace() {
	n.kill()
	n.startProcess()
}

// replaceRecovering replaces a successor as soon as it is elected.
func (n *crowdNode) replaceRecovering() {
	incarnation := ownerIncarnation(n.t, n.platform)
	n.replace()
	await(n.t, "the successor is elected", func() bool { return ownerIncarnation(n.t, n.platform) != incarnation })
	n.replace()
}

// awaitCompletion waits until an ordinary job has been accepted and is shown as completed.
func (n *crowdNode) awaitCompletion() {
	n.t.Helper()
	n.awaitService()
	url := fmt.Sprintf("http://%s/w/ordinary-%d", n.client, n.ordinary.Load())
	await(n.t, "an ordinary job is completed", func() bool { return strings.Contains(n.body(url), `"completed"`) })
}

// Guards against an owner that ends, or exceeds the memory of its instance, because of what accepted requests leave behind,
// against a successor that cannot read it, and against an organisation that keeps the jobs of others from being accepted and
// run.
func TestCrowdsOfAcceptedRequests(t *testing.T) {
	buildForCrowds(t)
	for _, c := range acceptedCases() {
		t.Run(c.name, func(t *testing.T) {
			n := newAcceptedNode(t)
			n.watched("the crowd", func() {
				n.accept(c, n.client)
				n.settle()
				n.awaitCompletion()
			})
			n.replace()
			n.watched("a successor", n.awaitCompletion)
			n.replaceRecovering()
			n.watched("a successor of a recovering owner", n.awaitCompletion)
		})
	}
}

// Guards against a crowd that reaches the owner through several entries, and against an entry that cannot take over what it
// has passed on.
func TestCrowdOfAcceptedRequestsAtSeveralEntries(t *testing.T) {
	buildForCrowds(t)
	owner := newAcceptedNode(t)
	entry := &crowdNode{t: t, key: owner.key, dir: owner.dir, platform: owner.platform}
	entry.startNode("e2", crowdMemoryMB, manyFDs)
	for i, c := range acceptedCases() {
		first := i * 1_000_000 // jobs of the cases have different IDs
		c.requests /= 4
		request := c.request
		c.request = func(i int) (method, job, body string) { return request(first + i) }
		owner.watched(c.name+", the owner", func() {
			entry.watched(c.name+", an entry", func() {
				var crowds sync.WaitGroup
				for _, address := range []string{owner.client, entry.client} {
					crowds.Go(func() { owner.accept(c, address) })
				}
				crowds.Wait()
				entry.awaitCompletion()
			})
		})
	}
	owner.kill()
	entry.watched("the entry as the successor", entry.awaitCompletion)
}
