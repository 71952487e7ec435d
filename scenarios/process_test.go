package scenarios

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pollenford/pollenford/internal/porttest"
	"github.com/pollenford/pollenford/internal/settings"
	"github.com/pollenford/pollenford/platform"
	"github.com/pollenford/pollenford/platform/standin"
)

// scenarioGrace lets the longest requests of the load profiles end.
const scenarioGrace = 15 * time.Second

// stopDeadline bounds a graceful stop in a scenario.
const stopDeadline = 60 * time.Second

// bench holds what one scenario started.
type bench struct {
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	relays    map[string]*relay
	tasks     map[string]*background
}

type benchKey struct{}

func setup(env *testscript.Env) error {
	b := &bench{processes: map[string]*exec.Cmd{}, relays: map[string]*relay{}, tasks: map[string]*background{}}
	env.Values[benchKey{}] = b
	env.Defer(b.close)
	return nil
}

func benchOf(ts *testscript.TestScript) *bench { return ts.Value(benchKey{}).(*bench) }

func (b *bench) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.processes {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	}
	for _, r := range b.relays {
		r.close()
	}
}

func (b *bench) process(ts *testscript.TestScript, name string) *exec.Cmd {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.processes[name]
	if p == nil {
		ts.Fatalf("no process %q", name)
	}
	return p
}

// cmdPorts sets each variable to a free loopback address.
func cmdPorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freeAddress(ts))
	}
}

func freeAddress(ts *testscript.TestScript) string {
	address, err := porttest.Address()
	ts.Check(err)
	return address
}

// cmdSpawn starts "pollenford ARGS" in the background; its output goes to NAME.log.
func cmdSpawn(ts *testscript.TestScript, _ bool, args []string) { spawn(ts, args[0], nil, args[1:]...) }

// spawn starts a process with additional variables in its environment.
func spawn(ts *testscript.TestScript, name string, env []string, args ...string) {
	cmd, err := startProcess(ts.Getenv("WORK"), name, env, args...)
	ts.Check(err)
	b := benchOf(ts)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes[name] = cmd
}

// startProcess starts "pollenford ARGS" in a directory; its output goes to NAME.log there.
func startProcess(dir, name string, env []string, args ...string) (*exec.Cmd, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("pollenford", args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.Env = dir, log, log, append(os.Environ(), env...)
	return cmd, cmd.Start()
}

// settingsOf is the environment of a node whose settings were written in a directory.
func settingsOf(dir, name string) []string {
	return []string{platform.SettingsVariable + "=" + filepath.Join(dir, name+".toml")}
}

func cmdSignal(signal syscall.Signal) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			p := benchOf(ts).process(ts, name)
			ts.Check(p.Process.Signal(signal))
			if signal == syscall.SIGKILL {
				_ = p.Wait() // the exit status of a killed process is no finding
			}
		}
	}
}

// cmdShutdown stops processes gracefully, all at once, and fails when one does not exit with status 0 in time.
func cmdShutdown(ts *testscript.TestScript, _ bool, args []string) {
	b := benchOf(ts)
	for _, name := range args {
		ts.Check(b.process(ts, name).Process.Signal(syscall.SIGTERM))
	}
	for _, name := range args {
		p := b.process(ts, name)
		done := make(chan error, 1)
		go func() { done <- p.Wait() }()
		select {
		case err := <-done:
			if err != nil {
				ts.Fatalf("%s did not stop cleanly: %v", name, err)
			}
		case <-time.After(stopDeadline):
			ts.Fatalf("%s did not stop within %s", name, stopDeadline)
		}
	}
}

// cmdExitCode runs a program that must end with the given exit code: exitcode CODE PROGRAM ARGS.
func cmdExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("%v: %v, want exit code %s", args[1:], err, args[0])
	}
}

// cmdNode writes the settings of a node: node NAME PLATFORM-ADDRESS. Afterwards $NAME is the address of its own API and
// $NAME_READY that of its readiness.
func cmdNode(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	api, client, ready := freeAddress(ts), freeAddress(ts), freeAddress(ts)
	ts.Check(writeNode(ts.MkAbs(name), name, args[1], api, client, ready, freePair(ts)))
	ts.Setenv(name, api)
	ts.Setenv(name+"_READY", ready)
}

// writeNode writes the settings of a node to PATH.toml and PATH.json. Its peers and scrapes use the port first and the
// next one.
func writeNode(path, name, platformAddress, api, client, ready string, first int) error {
	var text bytes.Buffer
	n := standin.Node{
		Name: name, Zone: "az-1", IP: "127.0.0.1", ClientAddress: client, ReadyAddress: ready, FirstPort: first, LastPort: first + 1,
		PlatformAddress: platformAddress, Grace: scenarioGrace,
	}
	if err := n.WriteSettings(&text); err != nil {
		return err
	}
	if err := os.WriteFile(path+".toml", text.Bytes(), 0o600); err != nil {
		return err
	}
	own := fmt.Sprintf(`{"api":{"listen":%q},"log":{"level":"debug"},"operators":[{"name":"scenario","token_sha256":%q}],
"objectives":{"walk-in":{"queue":"walk-in","target":0.9,"latency_ms":2000,"window_hours":24}}}`, api, settings.TokenDigest("operator-token"))
	return os.WriteFile(path+".json", []byte(own), 0o600)
}

// freePair returns the first of two free ports in a row.
func freePair(ts *testscript.TestScript) int {
	port, err := twoPorts()
	ts.Check(err)
	return port
}

func twoPorts() (int, error) {
	for before := -1; ; {
		address, err := porttest.Address()
		if err != nil {
			return 0, err
		}
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			return 0, err
		}
		port, err := strconv.Atoi(text)
		if err != nil {
			return 0, err
		}
		if port == before+1 {
			return before, nil
		}
		before = port
	}
}

// cmdStart starts nodes whose settings were written, and waits until they are ready: start NAME...
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		spawn(ts, name, settingsOf(ts.Getenv("WORK"), name), "node", "--settings", name+".json")
	}
	for _, name := range args {
		cmdAwait(ts, false, []string{"http", "200", "GET", "http://" + ts.Getenv(name+"_READY") + "/readiness"})
	}
}

// cmdAwait repeats a command until it succeeds: await [SECONDS] COMMAND ARGS. With "!" it must fail.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	limit := 30 * time.Second
	if seconds, err := strconv.Atoi(args[0]); err == nil {
		limit = time.Duration(seconds) * time.Second
		args = args[1:]
	}
	deadline := time.Now().Add(limit)
	for {
		var err error
		if run, known := commandChecks[args[0]]; known {
			err = run(ts, args[1:])
		} else {
			err = ts.Exec(args[0], args[1:]...)
		}
		if (err == nil) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%v: not met within %s: %v", args, limit, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
