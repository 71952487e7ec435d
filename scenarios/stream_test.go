package scenarios

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

func init() {
	commands["stream"] = cmdStream
	commands["endstream"] = cmdEndStream
}

// background is a task that a scenario starts and asks later.
type background struct {
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	good int
	bad  []string
}

func startBackground(ts *testscript.TestScript, name string) *background {
	b := &background{stop: make(chan struct{})}
	benchOf(ts).mu.Lock()
	defer benchOf(ts).mu.Unlock()
	benchOf(ts).tasks[name] = b
	ts.Defer(b.end)
	return b
}

func backgroundOf(ts *testscript.TestScript, name string) *background {
	benchOf(ts).mu.Lock()
	defer benchOf(ts).mu.Unlock()
	b := benchOf(ts).tasks[name]
	if b == nil {
		ts.Fatalf("no background task %q", name)
	}
	return b
}

// end stops the task; it may be called again.
func (b *background) end() {
	b.mu.Lock()
	select {
	case <-b.stop:
	default:
		close(b.stop)
	}
	b.mu.Unlock()
	b.done.Wait()
}

func (b *background) running() bool {
	select {
	case <-b.stop:
		return false
	default:
		return true
	}
}

// cmdStream keeps requests running that are not idempotent: stream NAME CALLERS RUN_MS URL. Each caller sends the next
// request when it has the answer of the last one.
func cmdStream(ts *testscript.TestScript, _ bool, args []string) {
	callers, err := strconv.Atoi(args[1])
	ts.Check(err)
	b := startBackground(ts, args[0])
	for caller := range callers {
		b.done.Go(func() {
			for n := 0; b.running(); n++ {
				b.send(args[3], fmt.Sprintf("%s-%d-%d", args[0], caller, n), args[2])
			}
		})
	}
}

func (b *background) send(url, echo, runMS string) {
	body := fmt.Sprintf(`{"run_ms":%s,"echo":%q}`, runMS, echo)
	res, err := patient.Post(url, "application/json", strings.NewReader(body))
	problem := ""
	if err != nil {
		problem = err.Error()
	} else {
		data, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK || !strings.Contains(string(data), fmt.Sprintf("%q", echo)) {
			problem = fmt.Sprintf("%s: status %d, %v: %s", echo, res.StatusCode, err, data)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if problem != "" {
		b.bad = append(b.bad, problem)
		return
	}
	b.good++
}

// cmdEndStream ends a stream and fails when a request did not get its own answer, or when there were fewer requests
// than expected: endstream NAME MINIMUM.
func cmdEndStream(ts *testscript.TestScript, _ bool, args []string) {
	least, err := strconv.Atoi(args[1])
	ts.Check(err)
	b := backgroundOf(ts, args[0])
	b.end()
	ts.Logf("%d requests answered, %d not", b.good, len(b.bad))
	if len(b.bad) > 0 || b.good < least {
		ts.Fatalf("%d requests answered, want at least %d; %d not answered: %q", b.good, least, len(b.bad), b.bad)
	}
}
