package pool

import "time"

// CallBudget is the budget of calls to the instance service, which rejects those above its rate. Orders are planned anew
// every time, so what finds no budget waits for the next plan, and what matters most goes first.
type CallBudget struct {
	// PerSecond is the rate; 0 is no limit.
	PerSecond float64

	left float64
	at   time.Time
}

// callBurst is how many calls may be saved up, as a part of a second.
const callBurst = 0.25

// Refill adds what has become available since the last time.
func (c *CallBudget) Refill(now time.Time) {
	if c.at.IsZero() || now.Before(c.at) {
		c.at = now
	}
	c.left = min(c.PerSecond*callBurst, c.left+c.PerSecond*now.Sub(c.at).Seconds())
	c.at = now
}

// Allow reports whether a call may be made now, and counts it.
func (c *CallBudget) Allow() bool {
	if c.PerSecond == 0 {
		return true
	}
	if c.left < 1 {
		return false
	}
	c.left--
	return true
}
