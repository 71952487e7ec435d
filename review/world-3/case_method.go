package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["method"] = playMethod }

// memoryMB is the memory of a machine of the deployment, and methodBytes the length of a method. A header may have 16 KiB.
const (
	memoryMB    = 284
	methodBytes = 12 << 10
)

// playMethod lets clients without a key send requests whose headers are within the limit, each with a method of its own. In
// trouble the method is long, otherwise the path. Like the platform, it kills a process that exceeds the memory of its machine,
// and starts it again.
func playMethod(w *World, trouble bool) (string, error) {
	if err := w.begin(3); err != nil {
		return "", err
	}
	time.Sleep(contactTime)
	const machines, clientsPerMachine, requests, endsOfFault = 2, 8, 20000, 3
	var mu sync.Mutex
	ends := map[*Node]int{}
	over := func(n *Node) bool {
		mu.Lock()
		defer mu.Unlock()
		return ends[n] >= endsOfFault
	}
	var wait sync.WaitGroup
	deadline := time.Now().Add(60 * time.Second)
	for _, n := range w.others()[:machines] {
		done := make(chan struct{})
		var sending sync.WaitGroup
		for c := range clientsPerMachine {
			sending.Go(func() {
				for i := 0; i < requests/clientsPerMachine*endsOfFault && !over(n) && time.Now().Before(deadline); {
					i += w.sendLong(n, c, i, trouble, func() bool { return over(n) })
				}
			})
		}
		go func() { sending.Wait(); close(done) }()
		wait.Go(func() {
			w.watchMemory(n, done, func() bool {
				mu.Lock()
				defer mu.Unlock()
				ends[n]++
				return ends[n] < endsOfFault
			})
		})
	}
	wait.Wait()
	faulty := 0
	for n, count := range ends {
		w.logf("%s ended %d times", n.Name, count)
		if count >= endsOfFault {
			faulty++
		}
	}
	if faulty >= machines {
		return fmt.Sprintf("Fault: on %d of 3 machines the process exceeded %d MB three times, with no disruption there", faulty, memoryMB), nil
	}
	return "", nil
}

// sendLong sends requests on one connection, until it ends, and returns how many it has sent.
func (w *World) sendLong(n *Node, c, first int, trouble bool, stop func() bool) int {
	conn, err := net.DialTimeout("tcp", n.Front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for i := 0; i < 500 && !stop(); i++ {
		long := fmt.Sprintf("M%d-%d-%s", c, first+i, strings.Repeat("X", methodBytes))
		line := "GET /" + long
		if trouble {
			line = long + " /"
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nHost: %s\r\n\r\n", line, host); err != nil {
			return i
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return i
		}
		_ = res.Body.Close()
		if c == 0 && i == 0 {
			w.logf("request %d of client %d at %s: %s", first, c, n.Name, res.Status)
		}
		if res.Close {
			return i + 1
		}
	}
	return 500
}

// watchMemory kills the process of a node when it exceeds the memory of its machine, and starts it again if restart says so,
// until done.
func (w *World) watchMemory(n *Node, done <-chan struct{}, restart func() bool) {
	for logged := time.Now(); ; {
		select {
		case <-done:
			w.logf("%s uses %d MB at the end", n.Name, n.anonymousMB())
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := n.anonymousMB()
		if time.Since(logged) > 500*time.Millisecond {
			w.logf("%s uses %d MB", n.Name, mb)
			logged = time.Now()
		}
		if mb <= memoryMB && n.alive() {
			continue
		}
		w.logf("%s uses %d MB of %d MB: it is killed", n.Name, mb, memoryMB)
		n.kill()
		if !restart() {
			<-done
			return
		}
		time.Sleep(500 * time.Millisecond)
		if err := n.start(); err != nil {
			w.logf("%v", err)
		}
	}
}

// anonymousMB returns the memory of the process without its program file.
func (n *Node) anonymousMB() int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kb int64
			fmt.Sscan(rest, &kb)
			return kb / 1024
		}
	}
	return 0
}
