// Package leader elects the owner of a shard by means of a record in the store that the owner renews.
package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
)

// Timing of the election.
const (
	// renewInterval balances the calls per renewal (one append, and a read by each other instance) against RecordTTL.
	renewInterval = 700 * time.Millisecond
	// RecordTTL is how long after its last renewal an unresponsive owner is replaced. It allows for one lost renewal and
	// a slow store (260 to 440 ms per call).
	RecordTTL = 2 * time.Second
	// SilentRecordTTL is the same for an owner that also stopped answering on the connection to it. It allows for a renewal
	// that takes as long as callTimeout. An owner sends no orders for longer without a renewal.
	SilentRecordTTL = 1300 * time.Millisecond
	// MaxRenewalAge is how long after the last renewal of its own record an owner still renews leases. It lets running work
	// survive a store outage.
	MaxRenewalAge = 6 * time.Second
	// callTimeout bounds a call. In a slow store a renewal takes more than 400 ms.
	callTimeout   = 600 * time.Millisecond
	retryInterval = 100 * time.Millisecond
	// followPollTimeout bounds a read of the owner's records and thereby the delay until an expiry is detected.
	followPollTimeout = 500 * time.Millisecond
	// maxInitialCampaignDelay is how long the weakest instance defers its campaign if there has never been an owner.
	// Instances start within 0.3 s of each other and read a configuration first; work arrives several seconds later.
	maxInitialCampaignDelay = 1200 * time.Millisecond
	// maxCampaignDelay is the same after the loss of an owner: a small part of the time that detecting the loss takes.
	maxCampaignDelay = 120 * time.Millisecond
	// maxRestartCampaignDelay is the same within startupTime of an instance's own start: after a restart of all, stronger
	// instances may not have read their configuration yet.
	maxRestartCampaignDelay = 500 * time.Millisecond
	startupTime             = time.Second
	// maxCutOwnerDelay is the same before an instance acts on an owner that cannot renew its record: several instances of
	// a large deployment learn of it in that time.
	maxCutOwnerDelay = 400 * time.Millisecond
	// maxEarlyFactor is the highest campaign delay factor of an instance that acts on a cut or silent owner. A weaker one could
	// win although a strong one exists that has not learned of it; at the record's expiry all of them campaign.
	maxEarlyFactor = 0.5
	// yieldTime is how long an instance that yielded a term leaves the ownership to others: they read the release, wait for
	// stronger ones, read again and write their record, with up to 500 ms a call in a slow store.
	yieldTime = 2 * time.Second
	// yieldMemory is how long a yielded term counts as one in a row with the next.
	yieldMemory = time.Minute
)

// ErrYield is the error with which Serve ends a term for the benefit of other instances. They campaign first; without
// another owner this instance goes on.
const ErrYield = errors.ConstError("the term is yielded to another instance")

const (
	ownerTopic topic.Name = "keyed.owner"
	ownerKey   string     = "owner"
)

// Elector takes part in the election of the owner while Run is running.
type Elector struct {
	Store topic.Store
	Self  Owner
	Log   hclog.Logger
	// Serve runs the owner until its context ends, it detects that it was replaced, or it yields the term (ErrYield).
	Serve func(ctx context.Context, term *Term) error
	// Eligible reports whether this instance may become the owner now.
	Eligible func() bool
	// CampaignDelayFactor scales the campaign delay from 0 for the strongest instance to 1 for the weakest, so that
	// stronger instances win.
	CampaignDelayFactor float64

	mu       sync.Mutex
	current  Owner         // protected by mu
	known    bool          // protected by mu
	changed  chan struct{} // closed when the owner changes; protected by mu
	endTerm  func()        // ends the current term, nil without one; protected by mu
	resigned bool          // protected by mu

	wake           chan struct{} // ends a poll in flight; protected by mu
	nextOffset     int64         // next to read; negative before the first snapshot
	lastSeen       time.Time     // of the last record, the end of this instance's term or the end of a store outage
	storeFailing   bool
	lastFailure    time.Time // of a read of the store
	startedAt      time.Time // of Run
	ownerSuspected atomic.Bool
	endedFence     atomic.Int64 // fence of an owner whose process has certainly ended
	cutFence       atomic.Int64 // fence of an owner that says that it cannot renew its record
	silentFence    atomic.Int64 // fence of an owner that does not answer on its connection
	yieldedAt      time.Time
	yields         int // terms in a row that this instance yielded
}

// Current returns the owner as last read from the store. It returns false if none is known or it released its record.
func (e *Elector) Current() (Owner, bool) {
	owner, known := e.lastOwner()
	return owner, known && !owner.Released
}

// Changed returns a channel that is closed when the owner changes.
func (e *Elector) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed
}

// Suspect reports that the owner with the given fence appears to be down: the election does not wait for its record to
// expire.
func (e *Elector) Suspect(fence int64) {
	if owner, ok := e.Current(); ok && owner.Fence == fence && !e.ownerSuspected.Swap(true) {
		e.Wake()
	}
}

// SuspectSilent reports that the owner with the given fence stopped answering on the connection to it. That alone is no
// reason to replace it, because the fault may be in the network between: its record expires after SilentRecordTTL instead of
// RecordTTL.
func (e *Elector) SuspectSilent(fence int64) {
	if e.tooWeakToActEarly() {
		return
	}
	if e.silentFence.Swap(fence) != fence {
		e.Wake()
	}
}

// Responds reports that the owner with the given fence answers.
func (e *Elector) Responds(fence int64) { e.silentFence.CompareAndSwap(fence, 0) }

// SuspectCut reports that the owner with the given fence says that it cannot renew its record. It is suspected once a
// read shows that the store answers this instance; in an outage of the store for all, it stays the owner.
func (e *Elector) SuspectCut(fence int64) {
	owner, ok := e.Current()
	if !ok || owner.Fence != fence || owner.Name == e.Self.Name || e.tooWeakToActEarly() {
		return
	}
	if e.cutFence.Swap(fence) != fence {
		e.Wake()
	}
}

// tooWeakToActEarly reports whether the instance leaves a cut or silent owner to stronger ones until its record expires.
func (e *Elector) tooWeakToActEarly() bool { return e.CampaignDelayFactor > maxEarlyFactor }

// checkCutOwner suspects an owner that cannot renew its record if the store answers this instance.
func (e *Elector) checkCutOwner(ctx context.Context) {
	fence := e.cutFence.Swap(0)
	if owner, ok := e.Current(); fence == 0 || !ok || owner.Fence != fence {
		return
	}
	if time.Since(e.lastFailure) < RecordTTL {
		return // an outage that reaches this instance ends: the owner is about to renew its record
	}
	// Stronger instances learn of it as well, from their own callers.
	wait.For(ctx, time.Duration(e.CampaignDelayFactor*float64(maxCutOwnerDelay)))
	readCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.read(readCtx, 0); err != nil {
		e.markStoreFailing(err)
		e.Log.Info("owner cannot renew its record, nor does the store answer here", "fence", fence, "err", err)
		return
	}
	e.Log.Info("owner cannot renew its record, but the store answers here", "fence", fence)
	e.Suspect(fence)
}

// Wake makes Run reconsider at once whether to campaign, rather than at the end of the poll in flight. Call it when
// Eligible may have changed.
func (e *Elector) Wake() {
	select {
	case e.wakeChannel() <- struct{}{}:
	default: // a wake-up is pending
	}
}

func (e *Elector) wakeChannel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// errWoken means that a poll was ended by Wake.
const errWoken = errors.ConstError("woken up")

// ConfirmEnded reports that the process of the owner with the given fence has certainly ended.
func (e *Elector) ConfirmEnded(fence int64) {
	e.endedFence.Store(fence)
	e.Suspect(fence)
}

func (e *Elector) setOwner(o Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || o.Fence != e.current.Fence || o.Released != e.current.Released {
		// A process that starts again reads the same owner once more.
		e.Log.Info("owner changed", "owner", o.Name, "fence", o.Fence, "released", o.Released, "first_read", !e.known)
		e.ownerSuspected.Store(false)
		if e.changed != nil {
			close(e.changed)
			e.changed = nil
		}
	}
	e.current, e.known = o, true
}

// Resign ends the current term of this instance, if any, and prevents further ones. Run continues to follow the owner,
// so that requests in flight are forwarded to the next one.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
	if e.endTerm != nil {
		e.endTerm()
	}
}

// setEndTerm sets the function that ends the current term, nil after it.
func (e *Elector) setEndTerm(end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endTerm = end
	if e.resigned && end != nil {
		end()
	}
}

func (e *Elector) hasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

// Run takes part in the election until ctx ends. An owner releases its record before Run returns.
func (e *Elector) Run(ctx context.Context) {
	e.nextOffset, e.startedAt = -1, time.Now()
	for ctx.Err() == nil {
		if err := e.poll(ctx, e.pollTimeout()); err != nil {
			if ctx.Err() != nil {
				return
			}
			if errors.Is(err, errWoken) {
				e.checkCutOwner(ctx)
				e.campaignIfPossible(ctx)
				continue
			}
			e.markStoreFailing(err)
			if errors.Is(err, topic.ErrOutOfRetention) {
				e.nextOffset = -1
			}
			wait.For(ctx, retryInterval)
			continue
		}
		e.campaignIfPossible(ctx)
	}
}

// markStoreFailing records a failed read of the store.
func (e *Elector) markStoreFailing(err error) {
	e.lastFailure = time.Now()
	if !e.storeFailing {
		e.storeFailing = true
		e.Log.Warn("store became unavailable", "err", err)
	}
}

// campaignIfPossible campaigns if the last read of the store succeeded: during an outage the owner's record expires for
// every reader, although the owner may be alive and about to renew it.
func (e *Elector) campaignIfPossible(ctx context.Context) {
	if e.nextOffset >= 0 && !e.storeFailing && e.mayCampaign() && e.waitForStronger(ctx) {
		e.campaign(ctx)
	}
}

func (e *Elector) mayCampaign() bool {
	return !e.hasResigned() && !e.isYielding() && e.canTakeOver() && e.Eligible()
}

// isYielding reports whether other instances may campaign before this one.
func (e *Elector) isYielding() bool { return e.yields > 0 && time.Since(e.yieldedAt) < yieldTime }

// recentYields returns how many terms in a row this instance yielded up to now.
func (e *Elector) recentYields() int {
	if time.Since(e.yieldedAt) > yieldMemory {
		return 0
	}
	return e.yields
}

// waitForStronger delays the campaign in favour of stronger instances and reports whether it may still begin.
func (e *Elector) waitForStronger(ctx context.Context) bool {
	maxDelay := maxCampaignDelay
	if _, known := e.lastOwner(); !known {
		maxDelay = maxInitialCampaignDelay
	} else if time.Since(e.startedAt) < startupTime {
		maxDelay = maxRestartCampaignDelay
	}
	deadline := time.Now().Add(time.Duration(e.CampaignDelayFactor * float64(maxDelay)))
	for remaining := time.Until(deadline); remaining > 0; remaining = time.Until(deadline) {
		if e.poll(ctx, remaining) != nil || !e.mayCampaign() {
			return false
		}
	}
	return true
}

// lastOwner returns the latest owner record, including a released one, and whether one was read.
func (e *Elector) lastOwner() (Owner, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.known
}

// poll reads the owner's records once and waits up to pollTimeout for new ones. It returns errWoken if Wake ends it.
func (e *Elector) poll(ctx context.Context, pollTimeout time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, pollTimeout+callTimeout)
	defer cancel()
	woken := make(chan bool, 1)
	go func() {
		select {
		case <-e.wakeChannel():
			woken <- true
			cancel()
		case <-callCtx.Done():
			woken <- false
		}
	}()
	err := e.read(callCtx, pollTimeout)
	cancel()
	if <-woken { // also after a read that succeeded: no other poll sees this wake-up
		return errWoken
	}
	return err
}

// read reads the owner's records once, or all of them if their offset is not known.
func (e *Elector) read(callCtx context.Context, pollTimeout time.Duration) error {
	var records []topic.Record
	if e.nextOffset < 0 {
		snapshot, end, err := topic.ReadSnapshot(callCtx, e.Store, ownerTopic)
		if err != nil {
			return err
		}
		records, e.nextOffset = snapshot, end
	} else {
		result, err := e.Store.Read(callCtx, ownerTopic, e.nextOffset, pollTimeout)
		if err != nil {
			return err
		}
		records = result.Records
		e.nextOffset += int64(len(records))
	}
	if e.storeFailing {
		// During the outage the owner could not renew its record either: count RecordTTL from now.
		e.storeFailing = false
		e.lastSeen = time.Now()
		e.Log.Info("store available again")
	}
	e.applyRecords(records)
	return nil
}

func (e *Elector) pollTimeout() time.Duration {
	if e.ownerSuspected.Load() || e.storeFailing {
		return 0 // any response tells that the store is back
	}
	if owner, ok := e.Current(); ok && e.isSilent(owner) {
		return max(0, min(followPollTimeout, SilentRecordTTL-time.Since(e.lastSeen)))
	}
	return followPollTimeout
}

func (e *Elector) applyRecords(records []topic.Record) {
	if e.lastSeen.IsZero() {
		e.lastSeen = time.Now()
	}
	for _, r := range records {
		var o Owner
		if r.Key != ownerKey || r.Value == nil {
			continue
		}
		if err := cbor.Unmarshal(r.Value, &o); err != nil {
			e.Log.Error("malformed owner record skipped", "offset", r.Offset, "err", err)
			continue
		}
		e.lastSeen = time.Now()
		e.setOwner(o)
	}
}

// canTakeOver reports whether there is no owner, or only one whose record may be replaced.
func (e *Elector) canTakeOver() bool {
	owner, owned := e.Current()
	// A record of this instance outside a term is from an earlier process or from an append that was applied after its
	// timeout.
	return !owned || owner.Name == e.Self.Name || e.ownerSuspected.Load() || time.Since(e.lastSeen) > e.recordTTL(owner)
}

// recordTTL returns how long after its last renewal the owner may be replaced.
func (e *Elector) recordTTL(owner Owner) time.Duration {
	if e.isSilent(owner) {
		return SilentRecordTTL
	}
	return RecordTTL
}

func (e *Elector) isSilent(owner Owner) bool { return e.silentFence.Load() == owner.Fence }
