package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pollenford/pollenford/internal/workers"
	"github.com/pollenford/pollenford/platform/standin"
)

// restartSoakSeeds run by default.
var restartSoakSeeds = []uint64{1, 4}

// Kinds of faults around restarts and takeovers.
const (
	// restartInSilence starts nodes again while the store gives none of them a response.
	restartInSilence faultKind = "restart while the store is silent"
	// restartWorker crashes a worker that starts again under its ID within a second.
	restartWorker faultKind = "restart worker"
	// thinTakeover kills the owner while the other nodes have thin links to the store.
	thinTakeover faultKind = "takeover on thin links"
)

var restartSoakFaultKinds = []faultKind{
	restartInSilence, restartInSilence, restartWorker, restartWorker, restartWorker, restartWorker, restartWorker, restartWorker,
	thinTakeover, freezeOwner, freezeOwner, killNode, cutNode, storeOutage, lostAnswers,
}

// soakInstancesPerPool is the number of instances in each pool of the stand-in.
const soakInstancesPerPool = 2

// thinLinkBytesPerSecond is the bandwidth of the thinnest machine (10 Mbit/s).
const thinLinkBytesPerSecond = 10_000_000 / 8

// TestRestartSoak does the same as TestCancelSoak with nodes and workers that start again: nodes while the store is silent,
// workers under their IDs, owners behind thin links. No task may be started while another run of it is active or after an
// acknowledged one is done. RESTART_SOAK_SEEDS=FIRST:COUNT runs other seeds.
func TestRestartSoak(t *testing.T) {
	runSeeds(t, "RESTART_SOAK_SEEDS", restartSoakSeeds, func(t *testing.T, seed uint64) {
		s := newCancelSoak(t, "restart-soak", seed, restartSoakFaultKinds)
		s.wideJobs = true
		s.run()
	})
}

// restartInSilence cuts all nodes off from the store without a word, kills some of them and starts them again at once.
func (s *cancelSoak) restartInSilence() (string, func()) {
	var names []string
	for _, n := range s.nodes {
		n.store.setMode(cutSilent)
	}
	for _, n := range s.nodes {
		if s.disturbed[n] || s.rng.IntN(4) == 0 {
			continue
		}
		s.signalAndWait(n.process, syscall.SIGKILL)
		s.startNode(n)
		names = append(names, n.name)
	}
	return fmt.Sprint(restartInSilence, " ", strings.Join(names, " ")), func() {
		for _, n := range s.nodes {
			n.store.setMode(cutNone)
		}
	}
}

// restartWorker crashes a worker of the pool that runs the jobs. It starts again by itself.
func (s *cancelSoak) restartWorker() (string, func()) {
	down := 20 + s.rng.IntN(980)
	machine := fmt.Sprintf("quick-%d", 1+s.rng.IntN(soakInstancesPerPool))
	body := fmt.Sprintf(`{"machine":%q,"down_ms":%d}`, machine, down)
	res, err := httpClient.Post("http://"+s.platform+"/dev/worker-restart", "application/json", strings.NewReader(body))
	s.check(err)
	s.check(res.Body.Close())
	if res.StatusCode != http.StatusOK {
		s.t.Fatalf("restart of %s: status %d", machine, res.StatusCode)
	}
	return fmt.Sprintf("%s of %s, down for %d ms", restartWorker, machine, down), func() {}
}

// thinTakeover kills a node while the links of the others to the store are thin.
func (s *cancelSoak) thinTakeover(target *soakNode) (string, func()) {
	if owner := s.owner(); owner != nil {
		target = owner
	}
	for _, n := range s.nodes {
		n.store.limit(thinLinkBytesPerSecond)
	}
	restart := func() {}
	if !s.disturbed[target] {
		s.disturbed[target] = true
		restart = s.disturbProcess(killNode, target)
	}
	return fmt.Sprint(thinTakeover, " from ", target.name), func() {
		for _, n := range s.nodes {
			n.store.limit(0)
		}
		restart()
	}
}

// evaluateRepeats checks that no task was started while another run of it was active, or after an acknowledged one was done.
func (s *cancelSoak) evaluateRepeats(j *cancelJob, runs []standin.RunTimes, logs *nodeLogs, counts map[string]int) {
	byTask := map[string][]standin.RunTimes{}
	for _, r := range runs {
		for _, earlier := range byTask[r.Task] {
			done := earlier.End == string(workers.Done) && earlier.Acknowledged
			active := earlier.EndedMS == 0 || earlier.EndedMS > r.StartedMS
			if !done && !active {
				counts["tasks started again"]++
				continue
			}
			counts["broken: run twice"]++
			s.t.Errorf("seed %d: run %d of %s was started at %s beside or after %s\n%s", s.seed, r.Run, r.Task,
				clock(time.UnixMilli(r.StartedMS)), describe(earlier), s.history(j, logs))
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
}

func describe(r standin.RunTimes) string {
	data, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
