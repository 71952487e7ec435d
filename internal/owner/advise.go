package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/pollenford/pollenford/internal/advice"
)

const (
	// adviseTimeout bounds a call for advice on adviseWorkers workers, with others before it.
	adviseTimeout = 5 * time.Second
	// adviseWorkers is how many workers a call names: the users count one call on 30 workers in a job's objective.
	adviseWorkers = 30
	// adviseRetry is the pause after a refused call.
	adviseRetry = 200 * time.Millisecond
	// ticketMargin is left of a ticket's validity for the append and the order.
	ticketMargin = 300 * time.Millisecond
)

// tickets are what the advice has allowed for a step.
type tickets struct {
	asking bool
	again  time.Time // when the next call may be made
	asked  map[string]bool
	byID   map[string]ticket
}

type ticket struct {
	text        string
	incarnation int64
	until       time.Time
}

// validTicket returns the ticket of a worker for a step, "" without one.
func (t *tickets) validTicket(w *worker, now time.Time) string {
	got, ok := t.byID[w.info.ID]
	if !ok || got.incarnation != w.info.Incarnation || now.Add(ticketMargin).After(got.until) {
		return ""
	}
	return got.text
}

// ticketsFor returns the tickets of a step and asks for more while none of the workers has a valid one.
func (o *Owner) ticketsFor(key stepKey, view *poolView, now time.Time) *tickets {
	t := o.tickets[key]
	if t == nil {
		t = &tickets{asked: map[string]bool{}, byID: map[string]ticket{}}
		o.tickets[key] = t
	}
	usable := 0
	for _, w := range view.workers {
		if t.validTicket(w, now) != "" {
			usable++
		}
	}
	if usable == 0 && !t.asking && now.After(t.again) && o.cfg.Advice != nil {
		o.askAdvice(key, t, view)
	}
	return t
}

// askAdvice names workers that were not named before, and all again once each was.
func (o *Owner) askAdvice(key stepKey, t *tickets, view *poolView) {
	var ids []string
	lives := map[string]int64{}
	for round := range 2 {
		if round == 1 && len(ids) == 0 {
			clear(t.asked)
		}
		for _, w := range view.workers {
			if len(ids) < min(adviseWorkers, advice.MaxWorkers) && !t.asked[w.info.ID] {
				t.asked[w.info.ID] = true
				ids = append(ids, w.info.ID)
				lives[w.info.ID] = w.info.Incarnation
			}
		}
	}
	if len(ids) == 0 {
		return
	}
	t.asking = true
	step := key.job.spec.ID + "." + strconv.Itoa(key.occurrence) + "." + strconv.Itoa(key.step)
	go func() {
		ctx, stop := context.WithTimeout(o.ctx, adviseTimeout)
		defer stop()
		answer, err := o.cfg.Advice.Advise(ctx, step, ids)
		o.post(func() {
			t.asking = false
			now := time.Now()
			if err != nil {
				o.log.Warn("no advice", "step", step, "workers", len(ids), "err", err)
				t.again = now.Add(adviseRetry)
				return
			}
			o.log.Info("advice", "step", step, "asked", len(ids), "allowed", len(answer.Tickets), "valid", answer.ValidFor)
			for id, text := range answer.Tickets {
				t.byID[id] = ticket{text: text, incarnation: lives[id], until: now.Add(answer.ValidFor)}
			}
			o.replan = true
		})
	}()
}

// forgetTickets drops the tickets of steps whose jobs have ended.
func (o *Owner) forgetTickets() {
	for key := range o.tickets {
		if o.active[key.job.spec.ID] != key.job {
			delete(o.tickets, key)
		}
	}
}
