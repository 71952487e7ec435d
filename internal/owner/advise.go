package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/pollenford/pollenford/internal/advice"
	"github.com/pollenford/pollenford/internal/workload"
)

const (
	// adviseTimeout bounds an advice call for adviseBatchSize workers, including the wait behind other calls.
	adviseTimeout = 5 * time.Second
	// adviseStallTime is how long a call may go unanswered before another one is made beside it: its connection may be silent
	// for good.
	adviseStallTime = time.Second
	// maxAdviseCalls bounds the calls in flight that have not stalled. The service works on one call of a process at a time,
	// so that a second one keeps it busy, and further ones would only wait ahead of more urgent ones.
	maxAdviseCalls = 2
	// stallFactor is how many times as long as the last answered call one may take. It may wait behind another.
	stallFactor = 3
	// maxStalledCalls bounds the calls in flight that have stalled.
	maxStalledCalls = 6
	// adviseBatchSize is how many workers a call names; a job's objective allows for one call on 30 workers.
	adviseBatchSize = 30
	// adviseRetryDelay is the pause after a failed call.
	adviseRetryDelay = 200 * time.Millisecond
	// adviseRepeatInterval is the time after which a step asks again for workers that were not allowed. Which are allowed does
	// not change, so that a repeated call only helps if the service was wrong.
	adviseRepeatInterval = 2 * time.Second
	// ticketMargin is the minimum remaining validity of a ticket at placement; the append and the start request follow.
	ticketMargin = 300 * time.Millisecond
	// adviceRetention is how long the answers for a step are kept after the last one, beyond the validity of its tickets.
	adviceRetention = 5 * time.Second
	// maxAdvisedSteps bounds the steps whose answers are kept, with up to adviseBatchSize tickets each.
	maxAdvisedSteps = 4096
)

// adviceState holds the tickets of steps that wait, and the requests for more. Both are bounded whatever the number of waiting
// steps: a schedule that is behind has thousands.
type adviceState struct {
	queue advice.Queue[stepKey]
	steps map[stepKey]*tickets
	calls map[*adviceCall]bool // in flight
	// lastTook is how long the last answered call took.
	lastTook time.Duration
	// pausedUntil is set after a failed call: the others would fail as well.
	pausedUntil time.Time
}

func (a *adviceState) init() {
	a.steps = map[stepKey]*tickets{}
	a.calls = map[*adviceCall]bool{}
}

// adviceCall is a call in flight.
type adviceCall struct {
	step         string // as the service names it
	began        time.Time
	workers      []string
	incarnations map[string]int64 // by worker
}

// tickets holds what the advice service has answered for a step.
type tickets struct {
	occurrence *workload.Occurrence
	call       *adviceCall // the last one, nil if it was answered
	keepUntil  time.Time
	// asked holds the incarnation of each worker that was named in an answered call. Those that were not allowed then are not
	// asked again before askedUntil.
	asked      map[string]int64
	askedUntil time.Time
	byWorker   map[string]ticket
}

type ticket struct {
	text        string
	incarnation int64
	expiresAt   time.Time
}

// validTicket returns the ticket of a worker, or "" if it has none that stays valid for ticketMargin.
func (t *tickets) validTicket(w *worker, now time.Time) string {
	got, ok := t.byWorker[w.info.ID]
	if !ok || got.incarnation != w.info.Incarnation || now.Add(ticketMargin).After(got.expiresAt) {
		return ""
	}
	return got.text
}

// hasValid reports whether a worker has a valid ticket. It may be called on nil.
func (t *tickets) hasValid(list []*worker, now time.Time) bool {
	if t == nil || len(t.byWorker) == 0 {
		return false
	}
	for _, w := range list {
		if t.validTicket(w, now) != "" {
			return true
		}
	}
	return false
}

// mayAsk reports whether a call may tell something new about a worker: it was not named in its present incarnation, its ticket
// is about to expire, or it was not allowed long ago. It may be called on nil.
func (t *tickets) mayAsk(w *worker, now time.Time) bool {
	if t == nil {
		return true
	}
	incarnation, asked := t.asked[w.info.ID]
	if !asked || incarnation != w.info.Incarnation {
		return true
	}
	if _, allowed := t.byWorker[w.info.ID]; allowed {
		return t.validTicket(w, now) == ""
	}
	return now.After(t.askedUntil)
}

// requestFirst offers a request for the first tickets of a step.
func (o *Owner) requestFirst(r *readyStep, key stepKey, now time.Time) {
	if !o.advice.queue.Full(r.job.spec.Organisation, advice.Immediate) {
		r.view.prepare(&r.job.spec.Steps[r.step], key, nil, now)
		o.requestAdvice(r, key, now)
	}
}

// requestAdvice offers a request for tickets of a step with tasks that were not placed, if a call may tell something that helps
// to place them. The candidates of the view are prepared for the step.
func (o *Owner) requestAdvice(r *readyStep, key stepKey, now time.Time) {
	organisation, t := r.job.spec.Organisation, o.advice.steps[key]
	if o.cfg.Advice == nil || o.advice.isCalling(t, now) {
		return
	}
	step := &r.job.spec.Steps[r.step]
	if r.org != nil && !r.org.LimitAllows(o.usage[organisation].Add(step.Resources)) {
		o.requestAhead(r, key, now)
		return
	}
	room, mayAsk := false, false
	for i := range r.view.candidates {
		c := r.view.candidates[i]
		if c.Excluded = false; c.Fits(step) {
			room = true
			mayAsk = mayAsk || t.mayAsk(r.view.workers[i], now)
		}
	}
	switch {
	case mayAsk:
		o.advice.queue.Offer(organisation, advice.Immediate, key)
	case !room:
		if step.RequiredLabel == "" && step.MaxPerWorker == 0 && !step.Gang && !r.view.startsPaced() {
			r.view.doesNotFit = smallest(step.ReservedResources())
		}
		o.requestAhead(r, key, now)
	}
}

// requestAhead offers a request for the first tickets of a step that has to wait for room. Tickets that were not used expire, so
// that an organisation has them for a few steps only.
func (o *Owner) requestAhead(r *readyStep, key stepKey, now time.Time) {
	organisation := r.job.spec.Organisation
	if o.cfg.Advice == nil || o.advice.queue.Full(organisation, advice.Ahead) {
		return
	}
	if t := o.advice.steps[key]; o.advice.isCalling(t, now) || t.hasValid(r.view.workers, now) {
		o.advice.queue.Occupy(organisation, advice.Ahead)
		return
	}
	o.advice.queue.Offer(organisation, advice.Ahead, key)
}

// callAdvice makes calls for waiting requests as far as more calls may be in flight.
func (o *Owner) callAdvice(now time.Time) {
	a := &o.advice
	for a.mayCall(now) {
		organisation, key, ok := a.queue.Next()
		if !ok {
			return
		}
		if o.callFor(key, now) {
			a.queue.Serve(organisation)
		}
	}
}

// mayCall reports whether another call may be in flight.
func (a *adviceState) mayCall(now time.Time) bool {
	if now.Before(a.pausedUntil) || len(a.calls) >= maxAdviseCalls+maxStalledCalls {
		return false
	}
	answering := 0
	for call := range a.calls {
		if !a.stalled(call, now) {
			answering++
		}
	}
	return answering < maxAdviseCalls
}

// stalled reports whether a call has gone unanswered for much longer than the last one took.
func (a *adviceState) stalled(call *adviceCall, now time.Time) bool {
	return now.Sub(call.began) > max(adviseStallTime, stallFactor*a.lastTook)
}

// isCalling reports whether a call for a step is in flight and has not stalled. The step may have no tickets, nil.
func (a *adviceState) isCalling(t *tickets, now time.Time) bool {
	return t != nil && t.call != nil && !a.stalled(t.call, now)
}

// callFor calls the advice service for a step and reports whether it did: the step may have ended since the request, and its
// workers may have gone.
func (o *Owner) callFor(key stepKey, now time.Time) bool {
	a, t := &o.advice, o.advice.steps[key]
	occurrence := key.job.progress.Occurrence(key.occurrence)
	if o.active[key.job.spec.ID] != key.job || occurrence == nil || occurrence.Tasks[key.step].Waiting() == 0 ||
		a.isCalling(t, now) || t == nil && len(a.steps) >= maxAdvisedSteps {
		return false
	}
	named := o.workersToAsk(key, t, now)
	if len(named) == 0 {
		return false
	}
	if t == nil {
		t = &tickets{occurrence: occurrence, asked: map[string]int64{}, byWorker: map[string]ticket{}}
		a.steps[key] = t
	}
	call := &adviceCall{step: key.job.spec.ID + "." + strconv.Itoa(key.occurrence) + "." + strconv.Itoa(key.step),
		began: now, incarnations: map[string]int64{}}
	for _, w := range named {
		call.workers = append(call.workers, w.info.ID)
		call.incarnations[w.info.ID] = w.info.Incarnation
	}
	t.call, t.keepUntil = call, now.Add(adviseTimeout+adviceRetention)
	a.calls[call] = true
	o.metrics.adviceCalls.Inc(1)
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, adviseTimeout)
		defer stop()
		answer, err := o.cfg.Advice.Advise(ctx, call.step, call.workers)
		answeredAt := time.Now()
		o.post(func() {
			o.handleAdvice(t, call, answer, answeredAt, err)
			o.callAdvice(time.Now())
		})
	}()
	return true
}

// workersToAsk returns the workers that a call for a step names, at most adviseBatchSize: those about which it may tell
// something new, first those with room for a task.
func (o *Owner) workersToAsk(key stepKey, t *tickets, now time.Time) []*worker {
	step, q := &key.job.spec.Steps[key.step], o.queueOf(key.job.spec)
	if q == nil {
		return nil
	}
	var withRoom, full []*worker
	for _, w := range o.workersOf(q.Pool) {
		if !t.mayAsk(w, now) || !o.usable(w, now) || step.RequiredLabel != "" && !w.info.HasLabel(step.RequiredLabel) {
			continue
		}
		if c := w.candidate(key, step); c.Fits(step) {
			withRoom = append(withRoom, w)
		} else {
			full = append(full, w)
		}
	}
	named := append(withRoom, full...)
	return named[:min(len(named), adviseBatchSize, advice.MaxWorkers)]
}

// handleAdvice processes the answer to a call.
func (o *Owner) handleAdvice(t *tickets, call *adviceCall, answer advice.Answer, answeredAt time.Time, err error) {
	a := &o.advice
	delete(a.calls, call)
	if t.call == call {
		t.call = nil
	}
	took := answeredAt.Sub(call.began)
	if err != nil {
		o.metrics.adviceFailed.Inc(1)
		o.log.Warn("advice call failed", "step", call.step, "workers", len(call.workers), "ms", took.Milliseconds(), "err", err)
		a.pausedUntil = time.Now().Add(adviseRetryDelay)
		return
	}
	a.lastTook = took
	o.metrics.adviceLatency.RecordDuration(took)
	o.log.Info("advice received", "step", call.step, "asked", len(call.workers), "allowed", len(answer.Tickets),
		"valid", answer.ValidFor, "ms", took.Milliseconds(), "waiting", a.queue.Len())
	t.forgetExpired(answeredAt)
	for id, incarnation := range call.incarnations {
		t.asked[id] = incarnation
		delete(t.byWorker, id)
		if text, allowed := answer.Tickets[id]; allowed {
			t.byWorker[id] = ticket{text: text, incarnation: incarnation, expiresAt: answeredAt.Add(answer.ValidFor)}
		}
	}
	t.askedUntil = answeredAt.Add(adviseRepeatInterval)
	t.keepUntil = answeredAt.Add(answer.ValidFor + adviceRetention)
	o.replan = true
}

// forgetExpired deletes the tickets that have expired, whose workers may be asked again.
func (t *tickets) forgetExpired(now time.Time) {
	for id, got := range t.byWorker {
		if now.After(got.expiresAt) {
			delete(t.byWorker, id)
			delete(t.asked, id)
		}
	}
}

// rejected notes that a worker did not accept its ticket, so that a new one is requested.
func (t *tickets) rejected(worker string) {
	if t != nil {
		delete(t.byWorker, worker)
		delete(t.asked, worker)
	}
}

// forgetTickets deletes the answers for steps that have no waiting task, and those that are too old to be of use.
func (o *Owner) forgetTickets(now time.Time) {
	for key, t := range o.advice.steps {
		waits := o.active[key.job.spec.ID] == key.job && t.occurrence.Tasks[key.step].Waiting() > 0
		if !waits || now.After(t.keepUntil) {
			delete(o.advice.steps, key)
		}
	}
}
