package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pollenford/pollenford/internal/topic/topictest"
	"github.com/pollenford/pollenford/internal/workers"
)

// heartbeatLog records the heartbeats to all workers. Set it before the first owner starts.
type heartbeatLog struct {
	workers.Client
	mu   sync.Mutex
	sent []loggedHeartbeat // protected by mu
}

type loggedHeartbeat struct {
	request  workers.HeartbeatRequest
	answered bool
}

// Heartbeat implements workers.Client.
func (l *heartbeatLog) Heartbeat(ctx context.Context, to workers.Target,
	request workers.HeartbeatRequest) (workers.HeartbeatResponse, error) {
	response, err := l.Client.Heartbeat(ctx, to, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, loggedHeartbeat{request, err == nil})
	return response, err
}

// Guards against a session that was resumed twice for one response: it sent a heartbeat ahead of the decisions on the
// response before it, so that one after a lost worker's renewed the lease (review/6).
func TestHeartbeatAfterALossCarriesNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		store := &topictest.SilentAppends{Store: h.store}
		h.ownerStore = store
		log := &heartbeatLog{Client: h.fleet}
		h.workers = log
		w := h.addWorker("w1", 0)
		o := h.startOwner(true)
		h.submit(o, newJob("a", 3))
		h.await("the tasks run", func() bool { return len(w.Running()) == 3 })

		store.On.Store(true)
		for _, task := range []string{"a.0.0.0", "a.0.0.1"} {
			w.EndRun(task, workers.Done)
			time.Sleep(2 * commitTimeout) // the session goes on without the record
		}
		store.On.Store(false)
		h.await("both ends are acknowledged", func() bool { return w.UnacknowledgedEnds() == 0 })
		time.Sleep(2 * heartbeatPollTimeout)
		w.SetUnresponsive(true)
		time.Sleep(4 * (heartbeatPollTimeout + heartbeatTimeout))

		log.mu.Lock()
		defer log.mu.Unlock()
		for i := range log.sent[1:] {
			if before, next := log.sent[i], log.sent[i+1]; !before.answered && next.request.LeaseUntilMS != 0 {
				t.Errorf("heartbeat %d carries a lease, although heartbeat %d was not answered", i+2, i+1)
			}
		}
		if log.sent[len(log.sent)-1].answered {
			t.Error("the last heartbeat was answered: no loss was played")
		}
	})
}
