package owner

import (
	"slices"
	"time"

	"github.com/pollenford/pollenford/internal/leader"
)

// pauseLimit is how long the event loop may stand still before the term counts as unconfirmed. It is shorter than
// storeStallLimit, so that a pause is not mistaken for silence of the store, and than the time in which a silent owner is
// replaced.
const pauseLimit = 300 * time.Millisecond

// confirmInterval is the time between appends that only confirm the term. They delay those of decisions.
const confirmInterval = tickInterval

// heldCall is a call that waits until an append confirms the term.
type heldCall struct {
	r   reply
	run func()
}

// hold runs a call once the store has shown that no successor had fenced this owner when hold was called. A successor
// accepts jobs only after it has fenced its predecessors. The call is rejected if the store does not answer.
func (o *Owner) hold(r reply, run func()) {
	if o.appendStalled() {
		r.send(o.storeStalled())
		return
	}
	o.commit.held = append(o.commit.held, &heldCall{r: r, run: run})
}

// holdsCalls reports whether calls wait for an append to confirm the term.
func (c *committer) holdsCalls() bool {
	return len(c.held) > 0 || slices.ContainsFunc(c.flights, func(f *flight) bool { return len(f.held) > 0 })
}

// releaseHeld runs the held calls of an append that succeeded.
func (o *Owner) releaseHeld(f *flight) {
	c := &o.commit
	c.confirmedPauses = f.pauses
	if o.unconfirmed() { // by a pause since
		c.held = append(f.held, c.held...)
		return
	}
	for _, call := range f.held {
		call.run()
	}
}

// rejectHeld rejects the held calls behind a stalled append, and those of appends in flight once a slow store would have
// answered. None of them has been carried out.
func (o *Owner) rejectHeld() {
	c := &o.commit
	rejected := c.held
	c.held = nil
	if o.appendAge() > storeTimeout {
		for _, f := range c.flights {
			rejected = append(rejected, f.held...)
			f.held = nil
		}
	}
	for _, call := range rejected {
		call.r.send(o.storeStalled())
	}
}

// unconfirmed reports whether the event loop has stood still and no append has confirmed the term since. Another owner may
// have taken over meanwhile.
func (o *Owner) unconfirmed() bool { return o.pauses > o.commit.confirmedPauses }

// noticePause checks whether the event loop has stood still since the last check, including suspension of the instance.
func (o *Owner) noticePause() {
	now := leader.BootTime()
	if pause := now - o.lastTurn; pause > pauseLimit {
		o.pauses++
		if c := &o.commit; c.inFlight {
			c.waitingSince = c.waitingSince.Add(pause)
			if current := time.Now(); c.waitingSince.After(current) { // an answer was handled since the pause
				c.waitingSince = current
			}
		}
		o.log.Info("event loop stood still: the term is to be confirmed", "ms", pause.Milliseconds())
	}
	o.lastTurn = now
}
