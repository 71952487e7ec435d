package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/porttest"
)

// regressionSeeds run by default. Every seed that has failed is added with the cause.
//   - 1: a short run without a failure
//   - 20: a relay's preallocated address was taken before it listened; relays now listen on port 0
var regressionSeeds = []uint64{1, 20}

const (
	soakFaultTime       = 8 * time.Second // how long each seed injects faults
	soakRecoveryTimeout = 60 * time.Second
	soakNodes           = 3
	soakClients         = 6
)

// TestSoak injects random faults into real processes. It checks that every answer belongs to its request, that no
// non-idempotent job runs twice, that jobs reported as not run have not run, and that all requests with an idempotency
// key are answered once the faults are over. SOAK_SEEDS=FIRST:COUNT runs other seeds.
func TestSoak(t *testing.T) {
	runSeeds(t, "SOAK_SEEDS", regressionSeeds, func(t *testing.T, seed uint64) {
		newSoak(t, "soak", seed, soakNodes).run()
	})
}

// runSeeds runs a soak in parallel with each of the seeds, or with those of the variable (FIRST:COUNT) if it is set.
func runSeeds(t *testing.T, variable string, seeds []uint64, run func(t *testing.T, seed uint64)) {
	if text := os.Getenv(variable); text != "" {
		var first, count uint64
		if _, err := fmt.Sscanf(text, "%d:%d", &first, &count); err != nil {
			t.Fatal(err)
		}
		seeds = nil
		for i := range count {
			seeds = append(seeds, first+i)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// soak is one run of the test with one seed.
type soak struct {
	t        *testing.T
	dir      string
	rng      *rand.Rand
	platform string
	nodes    []*soakNode

	mu     sync.Mutex
	notRun []string // IDs of jobs reported as not run; protected by mu
	stop   chan struct{}
}

type soakNode struct {
	name, api, client string
	store             *relay
	process           *exec.Cmd
	frozen            bool
}

func newSoak(t *testing.T, name string, seed uint64, nodes int) *soak {
	dir, err := os.MkdirTemp("", fmt.Sprintf("%s-%d-", name, seed))
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{t: t, dir: dir, rng: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{})}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d: logs of all processes in %s", seed, dir)
			return
		}
		_ = os.RemoveAll(dir) // a remaining directory is harmless
	})
	config := `{"version":1,"routes":[{"name":"walk-in","host":"h","path_prefix":"/w/","service":"quick","anonymous":true}],"services":[{"name":"quick"}],"tenants":[]}`
	s.check(os.WriteFile(filepath.Join(dir, "config.json"), []byte(config), 0o600))
	s.platform = s.freeAddress()
	s.startProcess("platform", nil, "dev", "platform", "--listen", s.platform, "--config", "config.json")
	s.await("the platform responds", func() bool { _, _, err := s.get("http://" + s.platform + "/dev/runs"); return err == nil })
	for i := range nodes {
		n := &soakNode{name: fmt.Sprint("e", i+1), api: s.freeAddress(), client: s.freeAddress()}
		n.store, err = newRelay("127.0.0.1:0", s.platform)
		s.check(err)
		t.Cleanup(n.store.close)
		firstPort, err := consecutivePorts()
		s.check(err)
		s.check(writeNodeSettings(filepath.Join(dir, n.name), n.name, n.store.listener.Addr().String(),
			n.api, n.client, s.freeAddress(), firstPort))
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	for _, n := range s.nodes {
		s.await(n.name+" is ready", func() bool {
			status, _, err := s.get("http://" + n.api + "/readyz")
			return err == nil && status == 200
		})
	}
	return s
}

func (s *soak) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) freeAddress() string {
	address, err := porttest.Address()
	s.check(err)
	return address
}

func (s *soak) await(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(soakRecoveryTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s", soakRecoveryTimeout, what)
		}
	}
}

func (s *soak) get(url string) (int, []byte, error) {
	res, err := httpClient.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, body, err
}

// startProcess starts a process and kills it at the end of the test.
func (s *soak) startProcess(name string, env []string, args ...string) *exec.Cmd {
	cmd, err := startProcess(s.dir, name, env, args...)
	s.check(err)
	s.t.Cleanup(func() { s.signalAndWait(cmd, syscall.SIGKILL) })
	return cmd
}

func (s *soak) startNode(n *soakNode) {
	n.process = s.startProcess(n.name, settingsEnv(s.dir, n.name), "node", "--settings", n.name+".json")
}

// signalAndWait sends a signal to a process and waits until it exits.
func (s *soak) signalAndWait(cmd *exec.Cmd, signal syscall.Signal) {
	if cmd.ProcessState != nil {
		return
	}
	_ = cmd.Process.Signal(signal)
	_ = cmd.Wait() // the exit status of a killed process does not matter
}

func (s *soak) run() {
	var clients sync.WaitGroup
	for c := range soakClients {
		clients.Go(func() { s.runClient(c) })
	}
	for until := time.Now().Add(soakFaultTime); time.Now().Before(until); {
		s.injectFault()
		time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
	s.clearFaults()
	close(s.stop)
	clients.Wait()
	_, data, err := s.get("http://" + s.platform + "/dev/starts")
	s.check(err)
	var starts []string
	s.check(json.Unmarshal(data, &starts))
	runsByJob := map[string]int{}
	for _, task := range starts {
		job, _, _ := strings.Cut(task, ".")
		if runsByJob[job]++; runsByJob[job] > 1 {
			s.t.Errorf("job %s ran %d times", job, runsByJob[job])
		}
	}
	for _, job := range s.notRun {
		if runsByJob[job] > 0 {
			s.t.Errorf("job %s ran, although it was reported as not run", job)
		}
	}
	s.t.Logf("%d jobs ran, %d were reported as not run", len(runsByJob), len(s.notRun))
}

// injectFault injects one fault. Cuts of a relay end in the background and overlap later faults.
func (s *soak) injectFault() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration(200+s.rng.IntN(2500)) * time.Millisecond
	switch kind := s.rng.IntN(7); kind {
	case 0, 1:
		s.thaw(n)
		s.signalAndWait(n.process, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[kind])
		time.Sleep(duration / 5)
		s.startNode(n)
	case 2:
		_ = n.process.Process.Signal(syscall.SIGSTOP)
		n.frozen = true
		time.Sleep(duration)
		s.thaw(n)
	case 3, 4:
		n.store.setMode([]cutMode{cutSilent, cutReset}[kind-3])
		time.AfterFunc(duration, func() { n.store.setMode(cutNone) })
	case 5:
		n.store.setMode(cutOpen)
		n.store.setMode(cutNone)
	case 6:
		s.storeFaults(fmt.Sprintf(`{"Down":%v,"LoseAnswers":%d}`, s.rng.IntN(2) == 0, s.rng.IntN(4)))
		time.Sleep(duration / 2)
		s.storeFaults("{}")
	}
}

func (s *soak) thaw(n *soakNode) {
	if n.frozen {
		_ = n.process.Process.Signal(syscall.SIGCONT)
		n.frozen = false
	}
}

func (s *soak) storeFaults(body string) {
	res, err := httpClient.Post("http://"+s.platform+"/dev/faults", "application/json", strings.NewReader(body))
	s.check(err)
	s.check(res.Body.Close())
}

func (s *soak) clearFaults() {
	s.storeFaults("{}")
	for _, n := range s.nodes {
		s.thaw(n)
		n.store.setMode(cutNone)
	}
}

// runClient sends non-idempotent requests until the faults are over. Every second one has an idempotency key and is
// retried until answered.
func (s *soak) runClient(number int) {
	rng := rand.New(rand.NewPCG(uint64(number), 1))
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		default:
		}
		echo, key := fmt.Sprintf("%d-%d", number, n), ""
		if n%2 == 0 {
			key = echo
		}
		deadline := time.Now().Add(soakRecoveryTimeout + soakFaultTime)
		for answered := false; !answered; {
			answered = s.sendRequest(s.nodes[rng.IntN(len(s.nodes))].api, echo, key, rng) || key == ""
			if time.Now().After(deadline) {
				s.t.Errorf("no answer for key %s", key)
				return
			}
		}
	}
}

// sendRequest sends one request and reports whether its outcome is final.
func (s *soak) sendRequest(api, echo, key string, rng *rand.Rand) bool {
	runMS, deadlineMS := 100, 3000 // retries with a key must repeat the same request
	if key == "" {
		runMS, deadlineMS = 20+rng.IntN(300), 300+rng.IntN(1500)
	}
	body := fmt.Sprintf(`{"echo":%q,"run_ms":%d}`, echo, runMS)
	req, err := http.NewRequest(http.MethodPost, "http://"+api+"/v1/queues/walk-in/requests", strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return true
	}
	req.Header.Set("Pollenford-Deadline-Ms", strconv.Itoa(deadlineMS))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := http.Client{Timeout: 5 * time.Second} // a frozen node does not respond
	res, err := client.Do(req)
	if err != nil {
		time.Sleep(50 * time.Millisecond) // the node is down
		return false
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return false
	}
	if res.StatusCode == http.StatusOK {
		if !bytes.Contains(data, []byte(strconv.Quote(echo))) {
			s.t.Errorf("request %s got the answer %s", echo, data)
		}
		return true
	}
	var problem struct {
		Outcome string
		Reason  string
		JobID   string `json:"job_id"`
	}
	if err := json.Unmarshal(data, &problem); err != nil {
		s.t.Errorf("status %d: %s", res.StatusCode, data)
		return true
	}
	if problem.Outcome == "not-run" && key == "" && problem.JobID != "" {
		s.mu.Lock()
		s.notRun = append(s.notRun, problem.JobID)
		s.mu.Unlock()
	}
	return problem.Reason == "interrupted" || problem.Reason == "failed"
}
