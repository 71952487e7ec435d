package scenarios

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/porttest"
)

// Crowds and bounds. A crowd has the connections of half of an incident of 1,200. The bounds are the limits in the
// node's settings, less the descriptors that the platform keeps for files.
const (
	crowdSize     = 600
	crowdMemoryMB = 96
	// manyFDs leaves room for the whole crowd, so that only the memory bounds it; fewFDs does not.
	manyFDs        = 4_096
	fewFDs         = 600
	fileFDs        = 200
	crowdBodyBytes = 262_144 // the largest legal body
)

const (
	// crowdTimeout limits each wait of these tests, which check no times.
	crowdTimeout = 90 * time.Second
	// crowdSettled is how long memory and descriptors must not rise before a crowd counts as received.
	crowdSettled = time.Second
)

// crowdNode is a node beside a stand-in platform, both in processes of their own.
type crowdNode struct {
	t                                  *testing.T
	dir, platform, name                string
	client, api, ready, peers, metrics string
	process                            *exec.Cmd
	// incarnation is the node's in the record of the owner.
	incarnation string
	// key is the key of ordinary callers, "" for anonymous ones; ordinary counts their jobs.
	key      string
	ordinary atomic.Int64
	peakRSS  atomic.Int64 // bytes
	peakFDs  atomic.Int64
	conns    []net.Conn
}

// buildForCrowds puts a build without the race detector first in PATH: the detector multiplies the memory of a process.
func buildForCrowds(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "pollenford"), "../cmd/pollenford")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	t.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH"))
}

const crowdConfig = `{"version":1,"routes":[{"name":"walk-in","host":"h","path_prefix":"/w/","service":"quick","anonymous":true}],
"services":[{"name":"quick"}],"tenants":[],"limits":{"max_body_bytes":%d}}`

// newCrowdNode starts a platform and a node with limits, and waits until the node is the owner.
func newCrowdNode(t *testing.T, memoryMB, maxFDs, maxBodyBytes int) *crowdNode {
	return startCrowdNode(t, &crowdNode{t: t}, fmt.Sprintf(crowdConfig, maxBodyBytes), memoryMB, maxFDs)
}

// startCrowdNode starts a platform with a configuration, and a node with limits, and waits until the node is the owner.
func startCrowdNode(t *testing.T, n *crowdNode, config string, memoryMB, maxFDs int) *crowdNode {
	n.dir, n.platform = t.TempDir(), crowdAddress(t)
	n.check(os.WriteFile(filepath.Join(n.dir, "config.json"), []byte(config), 0o600))
	n.start("platform", nil, "dev", "platform", "--listen", n.platform, "--config", "config.json")
	await(t, "the platform answers", func() bool { return n.status("http://"+n.platform+"/machines", 0) == http.StatusOK })
	n.startNode("e1", memoryMB, maxFDs)
	n.incarnation = ownerIncarnation(t, n.platform)
	return n
}

// startNode starts a node with limits beside the platform and waits until it accepts jobs.
func (n *crowdNode) startNode(name string, memoryMB, maxFDs int) {
	n.name, n.client, n.api, n.ready = name, crowdAddress(n.t), crowdAddress(n.t), crowdAddress(n.t)
	port, err := consecutivePorts()
	n.check(err)
	n.peers, n.metrics = fmt.Sprintf("127.0.0.1:%d", port), fmt.Sprintf("127.0.0.1:%d", port+1)
	path := filepath.Join(n.dir, name)
	n.check(writeNodeSettings(path, name, n.platform, n.api, n.client, n.ready, port))
	file, err := os.OpenFile(path+".toml", os.O_APPEND|os.O_WRONLY, 0)
	n.check(err)
	_, err = fmt.Fprintf(file, "[limits]\nmemory_mb = %d\nmax_fds = %d\n", memoryMB, maxFDs)
	n.check(err)
	n.check(file.Close())
	n.startProcess()
	await(n.t, "the node is ready", func() bool { return n.status("http://"+n.ready+"/readiness", 0) == http.StatusOK })
	n.awaitService()
}

// startProcess starts the process of the node.
func (n *crowdNode) startProcess() {
	n.process = n.start(n.name, settingsEnv(n.dir, n.name), "node", "--settings", n.name+".json")
}

func crowdAddress(t *testing.T) string {
	address, err := porttest.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (n *crowdNode) check(err error) {
	n.t.Helper()
	if err != nil {
		n.t.Fatal(err)
	}
}

func (n *crowdNode) start(name string, env []string, args ...string) *exec.Cmd {
	cmd, err := startProcess(n.dir, name, env, args...)
	n.check(err)
	n.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended already
		_ = cmd.Wait()
	})
	return cmd
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(crowdTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", crowdTimeout, what)
		}
	}
}

// status returns the status of a GET request, or of a POST with a job of bodyBytes, on a new connection; 0 without an answer.
func (n *crowdNode) status(url string, bodyBytes int) int {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if bodyBytes > 0 {
		job := `{"spec":"{\"run_ms\":1}","steps":[{"count":1,"cpu":100,"mem_mb":100}]}`
		body := job + strings.Repeat(" ", max(0, bodyBytes-len(job)))
		req, err = http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	}
	n.check(err)
	status, _ := n.answer(&client, req)
	return status
}

// body returns the answer to a GET request on a new connection, "" without one.
func (n *crowdNode) body(url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	n.check(err)
	_, body := n.answer(&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, req)
	return body
}

// answer returns the status and the body of the answer to an ordinary caller's request; 0 without an answer.
func (n *crowdNode) answer(client *http.Client, req *http.Request) (status int, body string) {
	req.Host = "h"
	if n.key != "" {
		req.Header.Set("Authorization", "Bearer "+n.key)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(data)
}

// awaitService waits until an ordinary job is accepted.
func (n *crowdNode) awaitService() {
	n.t.Helper()
	await(n.t, "an ordinary job is accepted", func() bool {
		return n.status(fmt.Sprintf("http://%s/w/ordinary-%d", n.client, n.ordinary.Add(1)), 1) == http.StatusOK
	})
}

// usage returns the resident memory in bytes, its peak, and the open descriptors of the node; zeros if it has ended.
func (n *crowdNode) usage() (rss, peak, fds int64) {
	proc := fmt.Sprintf("/proc/%d", n.process.Process.Pid)
	text, _ := os.ReadFile(proc + "/status") // fails once the process has ended
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64) // other lines of three fields are not used
			switch fields[0] {
			case "VmRSS:":
				rss = kilobytes << 10
			case "VmHWM:":
				peak = kilobytes << 10
			}
		}
	}
	entries, _ := os.ReadDir(proc + "/fd")
	return rss, peak, int64(len(entries))
}

// watch records the peaks of the node's usage until stop is closed.
func (n *crowdNode) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		_, peak, fds := n.usage()
		n.peakRSS.Store(max(n.peakRSS.Load(), peak))
		n.peakFDs.Store(max(n.peakFDs.Load(), fds))
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// crowd opens all connections, which play the cases in turn. The first piece is sent on all of them before the second one.
func (n *crowdNode) crowd(cases []crowdCase) {
	n.conns = make([]net.Conn, crowdSize)
	pieces, rounds := make([][][]byte, len(cases)), 0
	for i, c := range cases {
		pieces[i] = c.pieces(n)
		rounds = max(rounds, len(pieces[i]))
	}
	for round := range rounds {
		var senders sync.WaitGroup
		for i := range crowdSize {
			if mine := i % len(cases); round < len(pieces[mine]) {
				senders.Go(func() { n.send(i, cases[mine].port(n, i), pieces[mine][round]) })
			}
		}
		senders.Wait()
	}
}

// send sends a piece on a connection. Those that the node refuses or closes send no more.
func (n *crowdNode) send(i int, address string, piece []byte) {
	if n.conns[i] == nil {
		conn, err := net.DialTimeout("tcp", address, crowdTimeout)
		if err != nil {
			return
		}
		n.conns[i] = conn
	}
	// A node that does not read may keep a sender waiting: its part is done then.
	_ = n.conns[i].SetWriteDeadline(time.Now().Add(10 * time.Second)) // fails only on closed connections, as the write does
	_, _ = n.conns[i].Write(piece)
}

// settle waits until the node's memory and descriptors have stopped rising.
func (n *crowdNode) settle() {
	rss, fds, since := int64(0), int64(0), time.Now()
	await(n.t, "the usage of the node stops rising", func() bool {
		nowRSS, _, nowFDs := n.usage()
		if nowRSS > rss+rss/50 || nowFDs > fds {
			rss, fds, since = max(rss, nowRSS), max(fds, nowFDs), time.Now()
		}
		return time.Since(since) > crowdSettled
	})
}

// play sends a crowd and checks that the node lives within its limits and that ordinary requests are answered while the
// crowd is connected.
func (n *crowdNode) play(maxFDs int, cases ...crowdCase) {
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() { n.watch(stop) })
	n.crowd(cases)
	n.settle()
	n.awaitService()
	for i, c := range cases {
		await(n.t, "a request on the port of "+c.name+" is answered", func() bool {
			return n.status("http://"+c.port(n, i)+"/metrics", 0) != 0
		})
	}
	close(stop)
	watcher.Wait()
	n.checkUsage("the crowd", maxFDs)
	for _, conn := range n.conns {
		if conn != nil {
			_ = conn.Close() // the node may have closed it
		}
	}
}

// checkUsage checks that the node lives, and that the recorded peaks are within its limits.
func (n *crowdNode) checkUsage(phase string, maxFDs int) {
	n.t.Helper()
	if rss, _, _ := n.usage(); rss == 0 {
		n.t.Errorf("%s: the process has ended", phase)
	}
	const mb = 1 << 20
	if peak := n.peakRSS.Load(); peak > crowdMemoryMB*mb {
		n.t.Errorf("%s: %d MB resident, limit %d MB", phase, peak/mb, crowdMemoryMB)
	}
	if peak := n.peakFDs.Load(); peak > int64(maxFDs-fileFDs) {
		n.t.Errorf("%s: %d open descriptors, limit %d without those for files", phase, peak, maxFDs-fileFDs)
	}
	n.t.Logf("%s: peak %d MB resident, %d descriptors", phase, n.peakRSS.Load()/mb, n.peakFDs.Load())
}
