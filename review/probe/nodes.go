package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// journal writes the record of a case.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	fmt.Fprintf(j.file, "%8.3f s  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the system.
type node struct {
	name, front, ready string
	settings           string // path of the settings file
	log                *journal
	output             *os.File
	cmd                *exec.Cmd
	ended              chan struct{}
}

// Ports of the nodes, below those that the kernel gives to connections.
const (
	firstPort = 10_000
	portCount = 20_000
)

// freePorts returns the first of some free ports in a row.
func freePorts(count int) (int, error) {
	for range 1000 {
		first := firstPort + rand.IntN(portCount)
		free := true
		for p := first; p < first+count && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// portsOfNode is how many ports a node has: for clients, readiness and control, and its range for other nodes.
const portsOfNode = 8

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// newNodes writes the settings of nodes, one in each of the zones ie-a, ie-b and ie-c in turn.
func newNodes(dir string, machines []machine, storeAddress, cloudAddress string, log *journal) ([]*node, error) {
	var list []*node
	for i, m := range machines {
		first, err := freePorts(portsOfNode)
		if err != nil {
			return nil, err
		}
		zone := []string{"ie-a", "ie-b", "ie-c"}[i%3]
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i/3+1), log: log}
		n.front, n.ready = loopback(first), loopback(first+1)
		n.settings = filepath.Join(dir, n.name+".toml")
		nodeStore := storeAddress
		if m != usualMachine {
			if nodeStore, err = newLimitedLink(storeAddress, m.linkMbps); err != nil {
				return nil, err
			}
		}
		text := fmt.Sprintf(settingsFormat, n.name, zone, first+3, first+portsOfNode-1, n.front, n.ready,
			loopback(first+2), m.cores, m.memoryMB, m.linkMbps, nodeStore, cloudAddress)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if n.output, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

const settingsFormat = `node = %q
role = "node"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = %q
region = "ie"
port_range = [%d, %d]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
commands = "invoke"
[zones]
ie-a = "ie"
ie-b = "ie"
ie-c = "ie"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_quota = %v
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = %d.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
hold_max_ms = 10000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
checkpoint_s = 1
restore_ms = 600
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fence = true
lease_ms = 3000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 12
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = %q
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`

// start starts the process as the deploy file says.
func (n *node) start() error {
	n.cmd = exec.Command("target/pollenford", "node")
	n.cmd.Env = append(os.Environ(), "POLLENFORD_SETTINGS="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = n.output, n.output
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.log.printf("node %s started, process %d", n.name, n.cmd.Process.Pid)
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait() // a killed process has no other status
		close(ended)
	}()
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-n.ended
	n.log.printf("node %s killed", n.name)
	n.cmd = nil
}

// isReady reports whether the node answers the platform's readiness check with 200.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// client is a stand-in of the platform's clients.
type client struct {
	nodes []*node
	log   *journal
}

const (
	clientDeadline = 3 * time.Second
	clientRetries  = 4
)

// call sends a request to a node and returns the status, 0 without a whole response.
func (c *client) call(n *node, method, host, path, key, body string) (status int, answer string, retryAfter string) {
	req, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), ""
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pollenford-Deadline-Ms", "3000")
	h := http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := h.Do(req)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer res.Body.Close()
	var data bytes.Buffer
	if _, err := data.ReadFrom(res.Body); err != nil {
		return 0, err.Error(), ""
	}
	return res.StatusCode, strings.TrimSpace(data.String()), res.Header.Get("Retry-After")
}

// submit hands a job in, with repeats at other nodes, and reports whether it was accepted.
func (c *client) submit(first int, host, prefix, key, id, body string) bool {
	for try := range clientRetries + 1 {
		n := c.nodes[(first+try)%len(c.nodes)]
		status, answer, _ := c.call(n, http.MethodPost, host, prefix+id, key, body)
		c.log.printf("client: POST %.40s at %s: %d %.120s", prefix+id, n.name, status, answer)
		switch status {
		case http.StatusOK:
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			time.Sleep(100 * time.Millisecond)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			time.Sleep(time.Second)
		default:
			return false
		}
	}
	return false
}

// state asks for the state of a job at all nodes in turn until one knows it, for up to a time. It returns "" without an
// answer.
func (c *client) state(host, prefix, key, id string, patience time.Duration) string {
	last := ""
	for until := time.Now().Add(patience); ; {
		for _, n := range c.nodes {
			status, answer, _ := c.call(n, http.MethodGet, host, prefix+id, key, "")
			last = fmt.Sprintf("%d %.120s", status, answer)
			if status == http.StatusOK || status == http.StatusGone {
				c.log.printf("client: GET %.40s at %s: %s", prefix+id, n.name, last)
				return answer
			}
		}
		if time.Now().After(until) {
			c.log.printf("client: GET %.40s: no node gives a state, the last answer is %s", prefix+id, last)
			return ""
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s) // fails if it has ended
		n.log.printf("node %s: %v", n.name, s)
	}
}

// owner returns the node that wrote the newest record of the election, or nil.
func (w *world) owner() *node {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	for _, r := range w.store.partition("keyed.owner").newest {
		for _, n := range w.nodes {
			if bytes.Contains(r.value, []byte(n.name)) {
				return n
			}
		}
	}
	return nil
}

// connection is a connection of a client that stays open.
type connection struct {
	node *node
	http *http.Client
}

// call sends a request on the connection and returns the status, 0 without a whole response, and the body.
func (c *connection) call(w *world, method, path string) (int, string) {
	if c.http == nil {
		c.http = &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxConnsPerHost: 1}}
	}
	req, err := http.NewRequest(method, "http://"+c.node.front+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+tenantKey)
	req.Header.Set("Pollenford-Deadline-Ms", "3000")
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	var data bytes.Buffer
	if _, err := data.ReadFrom(res.Body); err != nil {
		return 0, err.Error()
	}
	w.log.printf("client: %s %.40s at %s: %d", method, path, c.node.name, res.StatusCode)
	return res.StatusCode, strings.TrimSpace(data.String())
}
