package scenarios

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/platform/standin"
)

// cancelSoakSeeds run by default.
var cancelSoakSeeds = []uint64{1, 2}

const (
	cancelSoakFaultTime = 8 * time.Second // how long each seed injects faults
	cancelSoakFaults    = 12
	cancelSoakMinNodes  = 3
	cancelSoakMaxNodes  = 5
	cancelSoakClients   = 5
)

// Bounds of the platform's rules.
const (
	contactTime = 3 * time.Second        // from the end of a disruption until the bounds hold
	cancelTime  = 3 * time.Second        // from the acknowledgement of a cancel until the last start
	stopTime    = 200 * time.Millisecond // from then until the end of the last run
)

// TestCancelSoak injects overlapping random faults into real processes while clients submit and cancel jobs in the
// platform's protocol. Once the faults are over, no task of a job may run whose cancel was acknowledged. Rejected jobs
// must not run, and accepted jobs that nobody cancels must complete. CANCEL_SOAK_SEEDS=FIRST:COUNT runs other seeds.
func TestCancelSoak(t *testing.T) {
	runSeeds(t, "CANCEL_SOAK_SEEDS", cancelSoakSeeds, func(t *testing.T, seed uint64) {
		newCancelSoak(t, "cancel-soak", seed, cancelSoakFaultKinds).run()
	})
}

// cancelSoak is one run of the test with one seed.
type cancelSoak struct {
	*soak
	seed  uint64
	kinds []faultKind // each as often as its weight
	// wideJobs makes the jobs that are kept wide.
	wideJobs bool

	// Only the goroutine of the test uses these.
	disturbed map[*soakNode]bool // nodes whose process is frozen, stopping or down
	outages   int
	faults    []*injectedFault
	faultsEnd time.Time

	stopJobs chan struct{}  // closed at the end of the faults
	requests sync.WaitGroup // requests in progress, also those that their client no longer waits for

	mu     sync.Mutex
	frozen map[*soakNode]bool // protected by mu
	jobs   []*cancelJob       // protected by mu
}

func newCancelSoak(t *testing.T, name string, seed uint64, kinds []faultKind) *cancelSoak {
	nodes := cancelSoakMinNodes + int(seed)%(cancelSoakMaxNodes-cancelSoakMinNodes+1)
	return &cancelSoak{
		soak: newSoak(t, name, seed, nodes), seed: seed, kinds: kinds, stopJobs: make(chan struct{}),
		disturbed: map[*soakNode]bool{}, frozen: map[*soakNode]bool{},
	}
}

func (s *cancelSoak) run() {
	var clients sync.WaitGroup
	for i := range cancelSoakClients {
		clients.Go(func() { newCancelClient(s, i).run() })
	}
	s.injectFaults()
	close(s.stopJobs)
	clients.Wait()
	s.requests.Wait()
	s.awaitBounds()
	s.evaluate()
}

// faultKind is a kind of fault that the test injects.
type faultKind string

const (
	freezeOwner   faultKind = "freeze owner"
	freezeNode    faultKind = "freeze"
	killNode      faultKind = "kill"
	terminateNode faultKind = "terminate"
	cutOwner      faultKind = "cut owner"
	cutNode       faultKind = "cut"
	storeOutage   faultKind = "store outage"
	lostAnswers   faultKind = "lost answers"
)

// cancelSoakFaultKinds has each kind as often as its weight.
var cancelSoakFaultKinds = []faultKind{
	freezeOwner, freezeOwner, freezeOwner, freezeOwner, freezeNode, freezeNode, killNode, terminateNode,
	cutOwner, cutNode, cutNode, storeOutage, lostAnswers,
}

// injectedFault is a fault and the time in which it lasted.
type injectedFault struct {
	what     string
	from, to time.Time
}

// scheduledAction is something to do at a time after the start of the faults.
type scheduledAction struct {
	at time.Duration
	do func()
}

// injectFaults injects overlapping faults and returns when all have ended.
func (s *cancelSoak) injectFaults() {
	var schedule []scheduledAction
	begin := time.Now()
	for range cancelSoakFaults {
		kind := s.kinds[s.rng.IntN(len(s.kinds))]
		target := s.nodes[s.rng.IntN(len(s.nodes))]
		mode := []cutMode{cutSilent, cutReset, cutOpen}[s.rng.IntN(3)]
		at := time.Duration(s.rng.Int64N(int64(cancelSoakFaultTime * 7 / 8)))
		duration := s.drawDuration(kind)
		schedule = append(schedule, scheduledAction{at, func() {
			what, end := s.beginFault(kind, target, mode)
			if end == nil {
				return
			}
			f := &injectedFault{what: what, from: time.Now()}
			s.faults = append(s.faults, f)
			schedule = append(schedule, scheduledAction{min(at+duration, cancelSoakFaultTime), func() {
				end()
				f.to = time.Now()
			}})
		}})
	}
	for len(schedule) > 0 {
		slices.SortStableFunc(schedule, func(a, b scheduledAction) int { return cmp.Compare(a.at, b.at) })
		next := schedule[0]
		schedule = schedule[1:]
		time.Sleep(time.Until(begin.Add(next.at)))
		next.do()
	}
	time.Sleep(time.Until(begin.Add(cancelSoakFaultTime)))
	s.faultsEnd = time.Now()
}

func (s *cancelSoak) drawDuration(kind faultKind) time.Duration {
	if kind == freezeOwner || kind == freezeNode {
		return time.Duration(500+s.rng.IntN(4500)) * time.Millisecond
	}
	return time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
}

// beginFault begins a fault and returns its description and the function that ends it, nil if it is not possible now.
func (s *cancelSoak) beginFault(kind faultKind, target *soakNode, mode cutMode) (string, func()) {
	if kind == freezeOwner || kind == cutOwner {
		if owner := s.owner(); owner != nil {
			target = owner
		}
	}
	what := fmt.Sprint(kind, " ", target.name)
	switch kind {
	case restartInSilence:
		return s.restartInSilence()
	case restartWorker:
		return s.restartWorker()
	case thinTakeover:
		return s.thinTakeover(target)
	case cutOwner, cutNode:
		target.store.setMode(mode)
		return fmt.Sprint(what, " ", mode), func() { target.store.setMode(cutNone) }
	case storeOutage:
		s.outages++
		s.storeFaults(`{"Down":true}`)
		return string(kind), func() {
			if s.outages--; s.outages == 0 {
				s.storeFaults("{}")
			}
		}
	case lostAnswers:
		s.storeFaults(fmt.Sprintf(`{"Down":%v,"LoseAnswers":3}`, s.outages > 0))
		return string(kind), func() { s.storeFaults(fmt.Sprintf(`{"Down":%v}`, s.outages > 0)) }
	}
	if s.disturbed[target] {
		return "", nil
	}
	s.disturbed[target] = true
	return what, s.disturbProcess(kind, target)
}

// disturbProcess begins a fault of the process of a node and returns the function that ends it.
func (s *cancelSoak) disturbProcess(kind faultKind, n *soakNode) func() {
	restart := func() {
		s.signalAndWait(n.process, syscall.SIGKILL) // in case it is still stopping
		s.startNode(n)
		delete(s.disturbed, n)
	}
	switch kind {
	case killNode:
		s.signalAndWait(n.process, syscall.SIGKILL)
		return restart
	case terminateNode:
		s.check(n.process.Process.Signal(syscall.SIGTERM))
		return restart
	}
	s.check(n.process.Process.Signal(syscall.SIGSTOP))
	s.setFrozen(n, true)
	return func() {
		s.setFrozen(n, false)
		s.check(n.process.Process.Signal(syscall.SIGCONT))
		delete(s.disturbed, n)
	}
}

func (s *cancelSoak) setFrozen(n *soakNode, frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen[n] = frozen
}

func (s *cancelSoak) isFrozen(n *soakNode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen[n]
}

// owner returns the node that the store names as the owner, or nil.
func (s *cancelSoak) owner() *soakNode {
	_, data, err := s.get("http://" + s.platform + "/log-newest?topic=keyed.owner")
	if err != nil {
		return nil
	}
	var page struct{ Items []struct{ Value []byte } }
	if json.Unmarshal(data, &page) != nil || len(page.Items) == 0 {
		return nil // the store is down
	}
	var owner leader.Owner
	s.check(cbor.Unmarshal(page.Items[0].Value, &owner))
	for _, n := range s.nodes {
		if n.name == owner.Name {
			return n
		}
	}
	return nil
}

// bound returns the time after which no task of a job may run whose cancel was acknowledged at the given time.
func (s *cancelSoak) bound(acknowledged time.Time) time.Time {
	if calm := s.faultsEnd.Add(contactTime); acknowledged.Before(calm) {
		acknowledged = calm
	}
	return acknowledged.Add(cancelTime + stopTime)
}

// awaitBounds waits until the bounds of all acknowledged cancels have passed.
func (s *cancelSoak) awaitBounds() {
	last := s.bound(s.faultsEnd)
	for _, j := range s.jobs {
		if ack := j.acknowledgement(); ack != nil && s.bound(ack.answered).After(last) {
			last = s.bound(ack.answered)
		}
	}
	time.Sleep(time.Until(last))
}

// evaluate checks the answers of all jobs against the runs of their tasks.
func (s *cancelSoak) evaluate() {
	_, data, err := s.get("http://" + s.platform + "/dev/run-times")
	s.check(err)
	var runs []standin.RunTimes
	s.check(json.Unmarshal(data, &runs))
	runsByJob := map[string][]standin.RunTimes{}
	for _, r := range runs {
		id, _, _ := strings.Cut(r.Task, ".")
		runsByJob[id] = append(runsByJob[id], r)
	}
	logs := s.readLogs()
	counts := map[string]int{}
	for _, j := range s.jobs {
		counts["jobs"]++
		s.evaluateCancel(j, runsByJob[j.id], logs, counts)
		s.evaluateStates(j, runsByJob[j.id], logs, counts)
		s.evaluateRepeats(j, runsByJob[j.id], logs, counts)
		if j.rejected() {
			counts["jobs rejected"]++
			if len(runsByJob[j.id]) > 0 {
				s.t.Errorf("job %s ran, although all attempts were rejected\n%s", j.id, s.history(j, logs))
			}
		}
		if j.failure != "" {
			s.t.Errorf("job %s: %s\n%s", j.id, j.failure, s.history(j, logs))
		}
	}
	s.t.Logf("seed %d: %d nodes, %v", s.seed, len(s.nodes), counts)
	for _, f := range s.faults {
		s.t.Logf("seed %d: %s", s.seed, f)
	}
}

// evaluateStates checks that an accepted job was never shown as unknown.
func (s *cancelSoak) evaluateStates(j *cancelJob, runs []standin.RunTimes, logs *nodeLogs, counts map[string]int) {
	for _, r := range j.requests {
		if r.method != http.MethodGet || r.status != http.StatusGone {
			continue
		}
		c := logs.classify(j.id, r, firstStart(runs))
		counts["shown as unknown: "+string(c.cause)]++
		s.t.Errorf("seed %d: accepted job %s is shown as unknown: %v\n%s", s.seed, j.id, c, s.history(j, logs))
	}
}

// firstStart returns the time of the first run, or now.
func firstStart(runs []standin.RunTimes) time.Time {
	if len(runs) == 0 {
		return time.Now()
	}
	return time.UnixMilli(runs[0].StartedMS + 1) // the time was rounded down
}

// evaluateCancel checks that no task of a job runs on after its cancel was acknowledged.
func (s *cancelSoak) evaluateCancel(j *cancelJob, runs []standin.RunTimes, logs *nodeLogs, counts map[string]int) {
	ack := j.acknowledgement()
	if ack == nil {
		return
	}
	counts[fmt.Sprint("cancels answered ", ack.status)]++
	if ack.status == http.StatusGone && len(runs) > 0 {
		counts["cancels of jobs that ran answered 410"]++
	}
	bound := s.bound(ack.answered)
	late := slices.DeleteFunc(slices.Clone(runs), func(r standin.RunTimes) bool {
		return r.EndedMS != 0 && !time.UnixMilli(r.EndedMS).After(bound)
	})
	if len(late) == 0 {
		return
	}
	c := logs.classify(j.id, ack, firstStart(runs))
	counts["broken: "+string(c.cause)]++
	s.t.Errorf("seed %d: job %s ran on after its cancel: %v\n  %d runs active after the bound %s, the last %+v\n%s",
		s.seed, j.id, c, len(late), clock(bound), late[len(late)-1], s.history(j, logs))
}

// history describes the requests of a job, the faults near them and the lines about the job in the logs.
func (s *cancelSoak) history(j *cancelJob, logs *nodeLogs) string {
	var text strings.Builder
	for _, r := range j.requests {
		fmt.Fprintln(&text, "  request", r)
	}
	for _, f := range s.faults {
		if r := j.acknowledgement(); r != nil && f.from.Before(r.answered) && f.to.Add(contactTime).After(r.sent) {
			fmt.Fprintln(&text, "  fault  ", f)
		}
	}
	for _, l := range logs.byJob[j.id] {
		fmt.Fprintf(&text, "  log     %s %s\n", l.node, l.text)
	}
	return text.String()
}

func (f *injectedFault) String() string {
	return fmt.Sprintf("%s to %s %s", clock(f.from), clock(f.to), f.what)
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// drawOther returns a random node other than the given one.
func (s *cancelSoak) drawOther(rng *rand.Rand, n *soakNode) *soakNode {
	for {
		if other := s.nodes[rng.IntN(len(s.nodes))]; other != n {
			return other
		}
	}
}
