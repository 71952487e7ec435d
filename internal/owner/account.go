package owner

import "github.com/pollenford/pollenford/internal/schedule"

// startShare is the part of an instance's memory that starts without an answer may take.
const (
	startShare = 16
	// unlimitedMemoryMB is assumed of an instance without a limit.
	unlimitedMemoryMB = 512
	// startBytes is a start that has not been answered: its goroutine, and the request in several encodings.
	startBytes = 16 << 10
)

// accounts holds what the owner may hold.
type accounts struct {
	// starts is the number of starts without an answer, maxStarts its limit.
	starts, maxStarts int
}

// updateLimits sets the limits by the memory of the instance.
func (o *Owner) updateLimits() {
	megabytes := int64(o.cfg.MemoryMB)
	if megabytes == 0 {
		megabytes = unlimitedMemoryMB
	}
	o.accounts.maxStarts = int(megabytes << 20 / startShare / startBytes)
}

// startAnswered notes that a start was answered, given up or not sent.
func (o *Owner) startAnswered(w *worker) {
	if w.starting >= schedule.MaxStarting || o.accounts.starts >= o.accounts.maxStarts {
		o.replan = true
	}
	w.starting--
	o.accounts.starts--
}
