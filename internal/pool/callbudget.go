package pool

import "time"

// CallBudget limits the rate of calls to the instance service, which rejects calls above its own limit. Calls that
// exceed the budget are not queued: every round plans its calls from the current state, most important first.
type CallBudget struct {
	// PerSecond is the allowed rate; 0 means unlimited.
	PerSecond float64

	tokens     float64
	refilledAt time.Time
}

// burstSeconds bounds the unused budget that accumulates, in seconds at the allowed rate; one call may always accumulate.
const burstSeconds = 0.25

// Refill adds the budget accrued since the previous call. A clock that was set back adds nothing.
func (c *CallBudget) Refill(now time.Time) {
	if c.refilledAt.IsZero() || now.Before(c.refilledAt) {
		c.refilledAt = now
	}
	c.tokens = min(max(1, c.PerSecond*burstSeconds), c.tokens+c.PerSecond*now.Sub(c.refilledAt).Seconds())
	c.refilledAt = now
}

// Allow reports whether a call may be made now and, if so, deducts it from the budget.
func (c *CallBudget) Allow() bool {
	if c.PerSecond == 0 {
		return true
	}
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}
