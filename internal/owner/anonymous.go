package owner

import (
	"strings"
	"time"

	"github.com/pollenford/pollenford/internal/catalog"
	"github.com/pollenford/pollenford/internal/jobs"
)

// isOpenAt reports whether an anonymous caller of a queue may see and cancel a job that an organisation submitted: the queue
// is the job's, or has replaced it at its address. Clients send no key on a queue that is anonymous now, whoever they are.
func (o *Owner) isOpenAt(j *job, queue string) bool {
	queues := o.cfg.Catalog().Queues
	q := queues[queue]
	if q == nil || !q.AllowAnonymous {
		return false
	}
	return j.progress.Queue == queue || queues[j.progress.Queue] == nil && j.wasAcceptedAt(q)
}

// wasAcceptedAt reports whether the job was accepted at the address of a queue, which has replaced the job's. An owner that
// does not know the address, of a job that has ended or was accepted by an earlier version, takes it for the same.
func (j *job) wasAcceptedAt(q *catalog.Queue) bool {
	if j.spec == nil || j.spec.Terms == nil || j.spec.Terms.Prefix == "" {
		return true
	}
	return j.spec.Terms.Prefix == q.Prefix && strings.EqualFold(j.spec.Terms.Host, q.Host)
}

// queueUnknown returns the rejection of an anonymous call whose queue the owner does not know, or nil. The entry has a newer
// configuration than the owner, which cannot tell whether the caller may see a job.
func (o *Owner) queueUnknown(queue string) *jobs.Rejection {
	if queue == "" || o.cfg.Catalog().Queues[queue] != nil {
		return nil
	}
	return &jobs.Rejection{Reason: "the queue is not known to the owner", RetryAfter: time.Second}
}
