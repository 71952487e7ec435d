package leader

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
)

// campaign tries to become the owner and, on success, serves until the term ends.
func (e *Elector) campaign(ctx context.Context) {
	sent := BootTime()
	predecessor, known := e.lastOwner()
	predecessorEnded := !known || !predecessor.PredecessorMayRenew && (predecessor.Released ||
		predecessor.Fence == e.endedFence.Load() || predecessor.Name == e.Self.Name)
	o := e.Self
	o.Fence, o.PredecessorMayRenew = e.nextOffset+1, !predecessorEnded
	if err := e.write(ctx, o); err != nil {
		e.Log.Info("campaign for ownership failed", "err", err)
		if !errors.Is(err, topic.ErrOffsetMismatch) {
			wait.For(ctx, retryInterval)
		}
		return
	}
	e.setOwner(o)
	term := NewTerm(o.Fence, predecessorEnded)
	term.electedAt = BootTime()
	term.Yields = e.recentYields()
	term.renewedAt.Store(int64(sent))
	termCtx, cancel := context.WithCancel(ctx)
	e.setEndTerm(cancel)
	defer e.setEndTerm(nil)
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		defer cancel()
		e.renew(termCtx, o, term)
	}()
	e.Log.Info("elected as owner", "fence", o.Fence)
	err := e.Serve(termCtx, term)
	cancel()
	<-renewalDone
	e.Log.Info("term as owner ended", "fence", o.Fence, "err", err)
	e.yields = 0
	if errors.Is(err, ErrYield) {
		e.yields = term.Yields + 1
	}
	o.PredecessorMayRenew = term.predecessorMayRenew()
	if owner, ok := e.Current(); ok && owner.Fence == o.Fence {
		e.release(o)
	}
	if e.yields > 0 {
		e.yieldedAt = time.Now()
	}
	e.lastSeen = time.Now()
}

// write appends an owner record on the condition that nothing else was appended since the last read.
func (e *Elector) write(ctx context.Context, o Owner) error {
	value, err := cbor.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	expectedEnd := e.nextOffset
	_, end, err := e.Store.Append(callCtx, ownerTopic, topic.Batch{
		Records: []topic.Record{{Key: ownerKey, Value: value}}, ExpectedEnd: &expectedEnd})
	if err == nil {
		e.nextOffset = end
		return nil
	}
	if errors.Is(err, topic.ErrNotApplied) {
		return err
	}
	// The append, or an earlier one without a response, may have been applied: compare with the stored record.
	records, readEnd, readErr := topic.ReadSnapshot(callCtx, e.Store, ownerTopic)
	if readErr != nil {
		return errors.Annotatef(err, "owner record not verified: reading it back failed (%v)", readErr)
	}
	e.nextOffset = readEnd
	e.applyRecords(records)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == o {
		return nil
	}
	return err
}

// renew renews the record periodically, or when asked to, until ctx ends or another owner is read.
func (e *Elector) renew(ctx context.Context, o Owner, term *Term) {
	pause := renewInterval
	for waitForRenewal(ctx, term, pause) {
		sent := BootTime()
		o.PredecessorMayRenew = term.predecessorMayRenew()
		// A renewal in flight is awaited when the term ends: applied later, it would make the release fail.
		err := e.write(context.WithoutCancel(ctx), o)
		if err == nil {
			term.renewedAt.Store(int64(sent))
			term.SetRenewalFailing(false)
			pause = renewInterval
			continue
		}
		if owner, ok := e.Current(); ok && owner.Fence != o.Fence {
			e.Log.Warn("owner replaced by another instance", "by", owner.Name, "fence", owner.Fence)
			return
		}
		if ctx.Err() == nil {
			term.SetRenewalFailing(true)
			e.Log.Warn("owner record renewal failed", "age_ms", term.Age().Milliseconds(), "err", err)
		}
		pause = retryInterval
	}
}

// waitForRenewal waits for pause or until a renewal is asked for. It reports false if ctx ends first.
func waitForRenewal(ctx context.Context, term *Term, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-term.RenewalRequested():
	case <-ctx.Done():
		return false
	}
	return true
}

// release marks the record as released, so that another instance takes over without waiting for its expiry. It tries
// again until the record has expired anyway, because a slow store may not answer in time.
func (e *Elector) release(o Owner) {
	ctx, cancel := context.WithTimeout(context.Background(), RecordTTL)
	defer cancel()
	o.Released = true
	for {
		err := e.write(ctx, o)
		if err == nil {
			e.setOwner(o)
			return
		}
		if owner, ok := e.lastOwner(); ok && owner.Fence != o.Fence {
			return // another instance has taken over
		}
		if !wait.For(ctx, retryInterval) {
			e.Log.Warn("ownership release failed; its record will expire", "err", err)
			return
		}
	}
}
