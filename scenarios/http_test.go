package scenarios

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// httpClient has a timeout longer than any request of a scenario takes.
var httpClient = &http.Client{Timeout: time.Minute}

// commands holds the commands that this package adds to testscript.
var commands = map[string]func(ts *testscript.TestScript, neg bool, args []string){
	"ports":    cmdPorts,
	"spawn":    cmdSpawn,
	"crash":    cmdSignal(syscall.SIGKILL),
	"freeze":   cmdSignal(syscall.SIGSTOP),
	"thaw":     cmdSignal(syscall.SIGCONT),
	"shutdown": cmdShutdown,
	"node":     cmdNode,
	"start":    cmdStart,
	"http":     cmdHTTP,
	"slowpost": cmdSlowPost,
	"exitcode": cmdExitCode,
	"relay":    cmdRelay,
	"cut":      cmdCut,
	"heal":     cmdHeal,
}

// awaitChecks holds the commands that await can repeat; it runs all others as programs.
var awaitChecks = map[string]func(ts *testscript.TestScript, args []string) error{
	"http": checkHTTP,
}

func init() { commands["await"] = cmdAwait }

// cmdHTTP sends a request and checks the status: http STATUS METHOD URL [HEADER:VALUE...] [-- BODY]. It writes the
// response to the files "body" and "headers".
func cmdHTTP(ts *testscript.TestScript, neg bool, args []string) {
	if err := checkHTTP(ts, args); (err == nil) == neg {
		ts.Fatalf("http %v: %v", args, err)
	}
}

func checkHTTP(ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: http STATUS METHOD URL [HEADER:VALUE...] [-- BODY]")
	}
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return errors.Trace(err)
	}
	header, body := splitRequest(args[3:])
	req, err := http.NewRequest(args[1], args[2], strings.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	for _, h := range header {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, value)
	}
	res, err := httpClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(ts.MkAbs("body"), data, 0o600); err != nil {
		return errors.Trace(err)
	}
	var headerText strings.Builder
	_ = res.Header.Write(&headerText) // a strings.Builder never fails
	if err := os.WriteFile(ts.MkAbs("headers"), []byte(headerText.String()), 0o600); err != nil {
		return errors.Trace(err)
	}
	if res.StatusCode != want {
		return errors.Errorf("status %d, want %d: %s", res.StatusCode, want, data)
	}
	return nil
}

// cmdSlowPost sends a request whose body stays incomplete and checks the status: slowpost STATUS ADDRESS PATH.
func cmdSlowPost(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", args[1])
	ts.Check(err)
	defer conn.Close()
	ts.Check(conn.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 20\r\n\r\n{", args[2], args[1])
	ts.Check(err)
	response, err := io.ReadAll(conn)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("body"), response, 0o600))
	if !strings.HasPrefix(string(response), "HTTP/1.1 "+args[0]+" ") {
		ts.Fatalf("slowpost: %s", response)
	}
}

func splitRequest(args []string) (header []string, body string) {
	for i, arg := range args {
		if arg == "--" {
			return args[:i], strings.Join(args[i+1:], " ")
		}
	}
	return args, ""
}
