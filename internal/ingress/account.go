// Package ingress bounds what the clients of a process may occupy: memory, connections, and time without progress.
package ingress

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// Errors of charges.
const (
	ErrFull    = errors.ConstError("the account is full")
	ErrEvicted = errors.ConstError("closed for others that make progress")
)

// Part is a part of an account. Reserved units are kept for it; it never holds more than Max.
type Part struct{ Reserved, Max int64 }

// Account shares a number of units, such as bytes or connections, among holders. It reads no clock.
type Account struct {
	mu      sync.Mutex
	total   int64
	parts   []Part
	used    []int64              // by part; protected by mu
	holders map[*Holder]struct{} // protected by mu
}

// NewAccount returns an account with the given parts. What no part reserves is shared.
func NewAccount(total int64, parts ...Part) *Account {
	return &Account{total: total, parts: parts, used: make([]int64, len(parts)), holders: map[*Holder]struct{}{}}
}

// Used returns the units held in all parts.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := int64(0)
	for _, u := range a.used {
		sum += u
	}
	return sum
}

// Holder is what one connection, request or message holds of an account.
type Holder struct {
	account *Account
	evict   func()
	// The fields below are protected by account.mu.
	part     int
	units    int64
	progress time.Time
	// patience is how long the holder must have made no progress before it may be evicted; negative for never.
	patience time.Duration
	evicted  bool
}

// Hold adds a holder without units. It may be evicted, once, after patience without progress; evict must not block.
func (a *Account) Hold(part int, now time.Time, patience time.Duration, evict func()) *Holder {
	h := &Holder{account: a, evict: evict, part: part, progress: now, patience: patience}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Progress notes that the holder made progress.
func (h *Holder) Progress(now time.Time) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progress = now
}

// SetPatience changes how long the holder must have made no progress before it may be evicted; negative for never.
func (h *Holder) SetPatience(patience time.Duration) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.patience = patience
}

// Charge adds units. If there is no room, it evicts those that have gone longest without progress.
func (h *Holder) Charge(units int64, now time.Time) error { return h.ChargeIn(h.part, units, now) }

// ChargeIn moves the holder to a part and adds units there.
func (h *Holder) ChargeIn(part int, units int64, now time.Time) error {
	evicted, err := h.charge(part, units, now)
	for _, v := range evicted { // outside of the lock: closing a connection may take a while
		v.evict()
	}
	return err
}

func (h *Holder) charge(part int, units int64, now time.Time) (evicted []*Holder, err error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.evicted {
		return nil, ErrEvicted
	}
	a.used[h.part] -= h.units // its units move to the new part, or back
	for (units > 0 || part != h.part) && !a.fits(part, h.units+units) {
		v := a.victim(h, part, h.units+units, now)
		if v == nil {
			a.used[h.part] += h.units
			return evicted, ErrFull
		}
		v.evicted = true
		a.used[v.part] -= v.units
		v.units = 0
		evicted = append(evicted, v)
	}
	h.part = part
	h.units += units
	a.used[part] += h.units
	return evicted, nil
}

// fits reports whether a part may hold more units. The caller holds mu.
func (a *Account) fits(part int, units int64) bool {
	if a.used[part]+units > a.parts[part].Max {
		return false
	}
	taken := units
	for i, p := range a.parts {
		if i == part {
			taken += a.used[i]
		} else {
			taken += max(a.used[i], p.Reserved)
		}
	}
	return taken <= a.total || a.used[part]+units <= a.parts[part].Reserved
}

// victim returns the holder to evict for a charge, or nil. It only considers those whose units make room in the part. The
// caller holds mu.
func (a *Account) victim(forHolder *Holder, part int, units int64, now time.Time) *Holder {
	partFull := a.used[part]+units > a.parts[part].Max
	var oldest *Holder
	for v := range a.holders {
		switch {
		case v == forHolder, v.units == 0, v.patience < 0, now.Sub(v.progress) < v.patience:
		case v.part != part && (partFull || a.used[v.part] <= a.parts[v.part].Reserved):
		case oldest == nil || v.progress.Before(oldest.progress):
			oldest = v
		}
	}
	return oldest
}

// Units returns what the holder holds.
func (h *Holder) Units() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.units
}

// Clear returns all units and keeps the holder.
func (h *Holder) Clear() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.used[h.part] -= h.units
	h.units = 0
}

// Release returns all units and removes the holder. It is idempotent.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[h.part] -= h.units
	h.units = 0
	h.evicted = true // later charges fail
	delete(a.holders, h)
}
