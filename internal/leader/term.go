package leader

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Owner is the value of the owner's record.
type Owner struct {
	// Name is the name of the entry; Incarnation identifies one lifetime of its process.
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"` // IP:port of the peer protocol
	// Fence increases with every change of owner.
	Fence    int64 `cbor:"4,keyasint"`
	Released bool  `cbor:"5,keyasint,omitempty"`
	// PredecessorMayRenew reports that the owner before this one may still renew leases, so that the next one must provide
	// for them even if this one is known to have ended.
	PredecessorMayRenew bool `cbor:"6,keyasint,omitempty"`
}

// Term is one continuous period of ownership.
type Term struct {
	Fence int64
	// PredecessorEnded reports whether the previous owner certainly no longer renews its record: it released the record,
	// its process ended, or there was no previous owner.
	PredecessorEnded bool
	// Yields is the number of terms in a row that this instance yielded before.
	Yields int
	// electedAt is the boot-time clock when the store had accepted the record of the term.
	electedAt time.Duration
	// renewedAt is the boot-time clock in nanoseconds at which the last successful renewal was sent.
	renewedAt atomic.Int64
	// renewalFailing reports whether the latest renewal failed.
	renewalFailing atomic.Bool
	renewNow       chan struct{}
}

// NewTerm returns a term that was won now.
func NewTerm(fence int64, predecessorEnded bool) *Term {
	t := &Term{Fence: fence, PredecessorEnded: predecessorEnded, renewNow: make(chan struct{}, 1)}
	t.MarkRenewed()
	return t
}

// predecessorMayRenew reports whether the previous owner may still renew leases. Its record was last renewed before this
// term began.
func (t *Term) predecessorMayRenew() bool {
	return !t.PredecessorEnded && BootTime()-t.electedAt < MaxRenewalAge
}

// MarkRenewed records that the owner had not been replaced by now.
func (t *Term) MarkRenewed() { t.renewedAt.Store(int64(BootTime())) }

// RenewNow asks for a renewal ahead of time, which shows whether the store answers this instance.
func (t *Term) RenewNow() {
	select {
	case t.renewNow <- struct{}{}:
	default: // asked already
	}
}

// RenewalRequested returns a channel that receives when RenewNow was called.
func (t *Term) RenewalRequested() <-chan struct{} { return t.renewNow }

// RenewalFailing reports whether the store did not accept the latest renewal: it may be unavailable, or reject this
// instance alone.
func (t *Term) RenewalFailing() bool { return t.renewalFailing.Load() }

// SetRenewalFailing sets what RenewalFailing reports.
func (t *Term) SetRenewalFailing(failing bool) { t.renewalFailing.Store(failing) }

// Age returns the time since the owner last knew that it had not been replaced, including time in suspension.
func (t *Term) Age() time.Duration { return BootTime() - time.Duration(t.renewedAt.Load()) }

// BootTime returns CLOCK_BOOTTIME, the time since the instance was booted. It includes suspension.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano()) // the kernel lacks CLOCK_BOOTTIME
	}
	return time.Duration(ts.Nano())
}
