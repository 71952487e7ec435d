package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/pollenford/pollenford/internal/advice"
)

const (
	// adviseTimeout bounds an advice call for adviseBatchSize workers, including the wait behind other calls.
	adviseTimeout = 5 * time.Second
	// adviseBatchSize is how many workers a call names; a job's objective allows for one call on 30 workers.
	adviseBatchSize = 30
	// adviseRetryDelay is the pause after a failed call.
	adviseRetryDelay = 200 * time.Millisecond
	// ticketMargin is the minimum remaining validity of a ticket at placement; the append and the start request follow.
	ticketMargin = 300 * time.Millisecond
)

// tickets holds the advice tickets of a step and the state of requests for more.
type tickets struct {
	requestPending bool
	nextRequest    time.Time // earliest time of the next call
	requested      map[string]bool
	byWorker       map[string]ticket
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

// ticketsFor returns the tickets of a step and requests more if no worker of the view has a valid one.
func (o *Owner) ticketsFor(key stepKey, view *poolView, now time.Time) *tickets {
	t := o.tickets[key]
	if t == nil {
		t = &tickets{requested: map[string]bool{}, byWorker: map[string]ticket{}}
		o.tickets[key] = t
	}
	usable := 0
	for _, w := range view.workers {
		if t.validTicket(w, now) != "" {
			usable++
		}
	}
	if usable == 0 && !t.requestPending && now.After(t.nextRequest) && o.cfg.Advice != nil {
		o.requestAdvice(key, t, view)
	}
	return t
}

// requestAdvice requests tickets for workers not yet named, starting over once all have been.
func (o *Owner) requestAdvice(key stepKey, t *tickets, view *poolView) {
	var ids []string
	incarnations := map[string]int64{}
	for pass := range 2 {
		if pass == 1 && len(ids) == 0 {
			clear(t.requested)
		}
		for _, w := range view.workers {
			if len(ids) < min(adviseBatchSize, advice.MaxWorkers) && !t.requested[w.info.ID] {
				t.requested[w.info.ID] = true
				ids = append(ids, w.info.ID)
				incarnations[w.info.ID] = w.info.Incarnation
			}
		}
	}
	if len(ids) == 0 {
		return
	}
	t.requestPending = true
	step := key.job.spec.ID + "." + strconv.Itoa(key.occurrence) + "." + strconv.Itoa(key.step)
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, adviseTimeout)
		defer stop()
		answer, err := o.cfg.Advice.Advise(ctx, step, ids)
		o.post(func() {
			t.requestPending = false
			now := time.Now()
			if err != nil {
				o.log.Warn("advice call failed", "step", step, "workers", len(ids), "err", err)
				t.nextRequest = now.Add(adviseRetryDelay)
				return
			}
			o.log.Info("advice received", "step", step, "asked", len(ids),
				"allowed", len(answer.Tickets), "valid", answer.ValidFor)
			for id, text := range answer.Tickets {
				t.byWorker[id] = ticket{text: text, incarnation: incarnations[id], expiresAt: now.Add(answer.ValidFor)}
			}
			o.replan = true
		})
	}()
}

// forgetTickets deletes the tickets of jobs that have ended.
func (o *Owner) forgetTickets() {
	for key := range o.tickets {
		if o.active[key.job.spec.ID] != key.job {
			delete(o.tickets, key)
		}
	}
}
