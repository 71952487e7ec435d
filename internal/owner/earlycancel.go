package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/jobs"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/workload"
)

// earlyCancelKeyPrefix is the prefix of the keys of recorded cancels that came before their jobs.
const earlyCancelKeyPrefix = "c/"

// maxEarlyCancels bounds the cancels of an organisation that are kept, so that it cannot fill the memory and the store
// with them.
const maxEarlyCancels = 10_000

// earlyCancels holds the cancels of jobs that have not been submitted. A submission may be on its way, or be repeated, so
// that each is kept as long as the status of an ended job.
type earlyCancels struct {
	byJob          map[string]earlyCancel
	byOrganisation map[string]int // number of cancels
	queue          []queuedCancel // one of each job, ordered by time
}

// queuedCancel is a job and the time of its latest cancel when it was queued for expiry, in Unix milliseconds.
type queuedCancel struct {
	id          string
	cancelledMS int64
}

// earlyCancel holds when each organisation cancelled a job, in Unix milliseconds.
type earlyCancel map[string]int64

// latestMS returns the time of the latest cancel, in Unix milliseconds.
func (c earlyCancel) latestMS() int64 {
	latest := int64(0)
	for _, ms := range c {
		latest = max(latest, ms)
	}
	return latest
}

func (e *earlyCancels) init() {
	e.byJob, e.byOrganisation = map[string]earlyCancel{}, map[string]int{}
}

// load adds a recorded entry. Call sort after the last one.
func (e *earlyCancels) load(id string, r topic.Record) error {
	var c earlyCancel
	if err := cbor.Unmarshal(r.Value, &c); err != nil {
		return errors.Trace(err)
	}
	e.byJob[id] = c
	for organisation := range c {
		e.byOrganisation[organisation]++
	}
	e.queue = append(e.queue, queuedCancel{id, c.latestMS()})
	return nil
}

func (e *earlyCancels) sort() {
	slices.SortFunc(e.queue, func(a, b queuedCancel) int { return cmp.Compare(a.cancelledMS, b.cancelledMS) })
}

// add adds a cancel and returns all of the job.
func (e *earlyCancels) add(id, organisation string, nowMS int64) earlyCancel {
	c := e.byJob[id]
	if c == nil {
		c = earlyCancel{}
		e.byJob[id] = c
		e.queue = append(e.queue, queuedCancel{id, nowMS})
	}
	if _, repeated := c[organisation]; !repeated {
		e.byOrganisation[organisation]++
	}
	c[organisation] = nowMS
	return c
}

// bind reports whether a job was cancelled before it was submitted, by an organisation that may cancel it.
func (e *earlyCancels) bind(spec *workload.Job) bool {
	for organisation := range e.byJob[spec.ID] {
		if mayAccess(spec.Organisation, organisation) {
			return true
		}
	}
	return false
}

// expire removes the entries whose latest cancel came before the given time and returns them by job.
func (e *earlyCancels) expire(beforeMS int64) map[string]earlyCancel {
	expired := map[string]earlyCancel{}
	for len(e.queue) > 0 && e.queue[0].cancelledMS < beforeMS {
		id := e.queue[0].id
		e.queue = e.queue[1:]
		c := e.byJob[id]
		if latest := c.latestMS(); latest >= beforeMS {
			e.queue = append(e.queue, queuedCancel{id, latest}) // cancelled again since
			continue
		}
		for organisation := range c {
			if e.byOrganisation[organisation]--; e.byOrganisation[organisation] == 0 {
				delete(e.byOrganisation, organisation)
			}
		}
		delete(e.byJob, id)
		expired[id] = c
	}
	return expired
}

// cancelBytes returns what a cancel of an unknown job takes.
func cancelBytes(id string) int64 { return earlyCancelBytes + idCopies*int64(len(id)) }

// bytesByOrganisation returns what all cancels take.
func (e *earlyCancels) bytesByOrganisation() map[string]int64 {
	bytes := map[string]int64{}
	for id, c := range e.byJob {
		for organisation := range c {
			bytes[organisation] += cancelBytes(id)
		}
	}
	return bytes
}

// cancelEarly records the cancel of a job that does not exist, and then says so. The record also confirms the term.
func (o *Owner) cancelEarly(id, organisation string, r reply) {
	deny := func() { o.denyJob("cancel", id, r) }
	switch {
	case len(id) > workload.MaxIDBytes:
		o.hold(r, deny) // such a job is never accepted
		return
	case o.appendStalled():
		r.send(o.storeStalled())
		return
	case o.earlyCancels.byOrganisation[organisation] >= maxEarlyCancels:
		r.send(&jobs.Rejection{Reason: "too many cancels of unknown jobs", RetryAfter: time.Second, Overloaded: true})
		return
	}
	if _, repeated := o.earlyCancels.byJob[id][organisation]; !repeated {
		if rejection := o.admitBytes(organisation, cancelBytes(id), 0); rejection != nil {
			r.send(rejection)
			return
		}
		o.accounts.accepted.Add(organisation, cancelBytes(id))
		id = strings.Clone(id) // it may be part of a long address
	}
	c := o.earlyCancels.add(id, organisation, time.Now().UnixMilli())
	o.queueRecord(topic.Record{Key: earlyCancelKeyPrefix + id, Value: o.encode(c)})
	o.afterCommit(deny)
}

// expireEarlyCancels deletes the cancels that have been kept long enough.
func (o *Owner) expireEarlyCancels(now time.Time) {
	for id, c := range o.earlyCancels.expire(now.Add(-o.statusRetention()).UnixMilli()) {
		for organisation := range c {
			o.accounts.accepted.Add(organisation, -cancelBytes(id))
		}
		o.queueRecord(topic.Record{Key: earlyCancelKeyPrefix + id})
	}
}
