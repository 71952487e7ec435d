// Package leader elects the owner of a shard with a record in the store that its holder renews.
package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
)

// Timing of the election.
const (
	// renewEvery weighs the price of its calls (one append, and a read by each other instance) against expireAfter.
	renewEvery = 700 * time.Millisecond
	// expireAfter allows one lost renewal and the slowest store that the deployments know (260 ms an answer).
	expireAfter = 2 * time.Second
	callTimeout = 600 * time.Millisecond
	retryEvery  = 100 * time.Millisecond
	// followWait bounds a read for renewals, and with it how late an expiry is noticed.
	followWait = 500 * time.Millisecond
	// firstDelay is how long the weakest instance waits for others when there has never been an owner: instances start
	// within 0.3 s of each other and read a configuration first, and work arrives several seconds later.
	firstDelay = 1200 * time.Millisecond
	// nextDelay is the same when an owner has gone, a small part of the time in which that is noticed.
	nextDelay = 120 * time.Millisecond
)

const (
	ownerTopic topic.Name = "keyed.owner"
	ownerKey   string     = "owner"
)

// Owner is the content of the owner's record.
type Owner struct {
	// Name is that of the entry instance, Incarnation tells its processes apart.
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"` // IP:port of the inner protocol
	// Fence rises with every change of owner.
	Fence    int64 `cbor:"4,keyasint"`
	Released bool  `cbor:"5,keyasint,omitempty"`
}

// Term is one time as the owner.
type Term struct {
	Fence int64
	// PredecessorEnded tells that the owner before has released its record or that its process has ended, so that it
	// renews nothing any more.
	PredecessorEnded bool
	// renewed is the boot-time clock in nanoseconds when the last successful renewal was sent.
	renewed atomic.Int64
}

// NewTerm returns a term that was won now.
func NewTerm(fence int64, predecessorGone bool) *Term {
	t := &Term{Fence: fence, PredecessorEnded: predecessorGone}
	t.MarkRenewed()
	return t
}

// MarkRenewed takes note that nobody has replaced the owner until now.
func (t *Term) MarkRenewed() { t.renewed.Store(bootTime()) }

// Age returns how long ago the owner last knew that nobody had replaced it. It counts time in suspension.
func (t *Term) Age() time.Duration { return time.Duration(bootTime() - t.renewed.Load()) }

// bootTime returns the clock that goes on while the machine is suspended, in nanoseconds.
func bootTime() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixNano() // only where the kernel lacks the clock
	}
	return ts.Nano()
}

// Elector takes part in the election for as long as it runs.
type Elector struct {
	Store topic.Store
	Self  Owner
	Log   hclog.Logger
	// Serve runs the owner until its context ends or it finds that it was replaced.
	Serve func(ctx context.Context, term *Term) error
	// Eligible reports whether this instance may become the owner now.
	Eligible func() bool
	// CampaignDelayFactor tells how much better suited others may be, from 0 for the strongest instance to 1. Weaker ones let the
	// others go first.
	CampaignDelayFactor float64

	mu      sync.Mutex
	current Owner         // protected by mu
	known   bool          // protected by mu
	changed chan struct{} // closed when current changes; protected by mu
	endTerm func()        // ends the present term, nil without one; protected by mu
	leaving bool          // protected by mu

	end      int64     // of the partition, as far as it was read
	lastSeen time.Time // of a record, or of the first successful read after an outage
	failing  bool
	hurry    atomic.Bool
	gone     atomic.Int64 // fence of an owner whose process is known to have ended
}

// Current returns the owner as last read, and whether one is known.
func (e *Elector) Current() (Owner, bool) {
	owner, known := e.last()
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

// Suspect tells that the owner with a fence seems to be gone, so that the election need not wait for its record to
// expire.
func (e *Elector) Suspect(fence int64) {
	if owner, ok := e.Current(); ok && owner.Fence == fence {
		e.hurry.Store(true)
	}
}

// ConfirmEnded tells that the process of the owner with a fence has ended for certain.
func (e *Elector) ConfirmEnded(fence int64) {
	e.gone.Store(fence)
	e.Suspect(fence)
}

func (e *Elector) set(o Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || o.Fence != e.current.Fence || o.Released != e.current.Released {
		e.Log.Info("owner changed", "owner", o.Name, "fence", o.Fence, "released", o.Released)
		e.hurry.Store(false)
		if e.changed != nil {
			close(e.changed)
			e.changed = nil
		}
	}
	e.current, e.known = o, true
}

// Resign ends the term of this instance, if it has one, and lets it begin no other. Run goes on following the owner, so
// that requests in hand reach the next one.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	if e.endTerm != nil {
		e.endTerm()
	}
}

// setTerm notes how the present term is ended, nil after it.
func (e *Elector) setTerm(end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endTerm = end
	if e.leaving && end != nil {
		end()
	}
}

func (e *Elector) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// Run takes part until ctx ends. An owner releases its record before Run returns.
func (e *Elector) Run(ctx context.Context) {
	e.end = -1
	for ctx.Err() == nil {
		if err := e.follow(ctx, e.wait()); err != nil {
			if ctx.Err() != nil {
				return
			}
			if !e.failing {
				e.failing = true
				e.Log.Warn("lost the store", "err", err)
			}
			if errors.Is(err, topic.ErrOutOfRetention) {
				e.end = -1
			}
			wait.For(ctx, retryEvery)
			continue
		}
		if e.mayCampaign() && e.outwait(ctx) {
			e.campaign(ctx)
		}
	}
}

func (e *Elector) mayCampaign() bool { return !e.isLeaving() && e.vacant() && e.Eligible() }

// outwait lets stronger instances go first and reports whether none has.
func (e *Elector) outwait(ctx context.Context) bool {
	longest := nextDelay
	if _, known := e.last(); !known {
		longest = firstDelay
	}
	until := time.Now().Add(time.Duration(e.CampaignDelayFactor * float64(longest)))
	for left := time.Until(until); left > 0; left = time.Until(until) {
		if e.follow(ctx, left) != nil || !e.mayCampaign() {
			return false
		}
	}
	return true
}

// last returns the newest owner's record, also of one that is gone, and whether there was one.
func (e *Elector) last() (Owner, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.known
}

// follow makes one read of the owner's records, which waits for news for some time.
func (e *Elector) follow(ctx context.Context, wait time.Duration) error {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var records []topic.Record
	if e.end < 0 {
		all, end, err := topic.ReadSnapshot(callCtx, e.Store, ownerTopic)
		if err != nil {
			return err
		}
		records, e.end = all, end
	} else {
		tail, err := e.Store.Read(callCtx, ownerTopic, e.end, wait)
		if err != nil {
			return err
		}
		records = tail.Records
		e.end += int64(len(records))
	}
	if e.failing {
		// While the store was away the owner could not renew either: count its silence from now.
		e.failing = false
		e.lastSeen = time.Now()
		e.Log.Info("regained the store")
	}
	e.accept(records)
	return nil
}

func (e *Elector) wait() time.Duration {
	if e.hurry.Load() {
		return 0
	}
	return followWait
}

func (e *Elector) accept(records []topic.Record) {
	if e.lastSeen.IsZero() {
		e.lastSeen = time.Now()
	}
	for _, r := range records {
		var o Owner
		if r.Key != ownerKey || r.Value == nil {
			continue
		}
		if err := cbor.Unmarshal(r.Value, &o); err != nil {
			e.Log.Error("unreadable owner record", "offset", r.Offset, "err", err)
			continue
		}
		e.lastSeen = time.Now()
		e.set(o)
	}
}

func (e *Elector) vacant() bool {
	owner, owned := e.Current()
	// A record of this instance that nobody serves is that of an earlier process, or comes from an append that was
	// carried out after it was given up.
	return !owned || owner.Name == e.Self.Name || e.hurry.Load() || time.Since(e.lastSeen) > expireAfter
}

// campaign tries to become the owner and, if it succeeds, serves until the term ends.
func (e *Elector) campaign(ctx context.Context) {
	sent := bootTime()
	before, known := e.last()
	gone := !known || before.Released || before.Fence == e.gone.Load() || before.Name == e.Self.Name
	o := e.Self
	o.Fence = e.end + 1
	if err := e.write(ctx, o); err != nil {
		e.Log.Info("did not become the owner", "err", err)
		if !errors.Is(err, topic.ErrOffsetMismatch) {
			wait.For(ctx, retryEvery)
		}
		return
	}
	e.set(o)
	term := NewTerm(o.Fence, gone)
	term.renewed.Store(sent)
	termCtx, cancel := context.WithCancel(ctx)
	e.setTerm(cancel)
	defer e.setTerm(nil)
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		defer cancel()
		e.renew(termCtx, o, term)
	}()
	e.Log.Info("became the owner", "fence", o.Fence)
	err := e.Serve(termCtx, term)
	cancel()
	<-renewed
	e.Log.Info("stopped being the owner", "fence", o.Fence, "err", err)
	if owner, ok := e.Current(); ok && owner.Fence == o.Fence {
		e.release(o)
	}
	e.lastSeen = time.Now()
}

// write appends a record under the condition that nobody else has.
func (e *Elector) write(ctx context.Context, o Owner) error {
	value, err := cbor.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	at := e.end
	_, end, err := e.Store.Append(callCtx, ownerTopic, topic.Batch{Records: []topic.Record{{Key: ownerKey, Value: value}}, ExpectedEnd: &at})
	if err == nil {
		e.end = end
		return nil
	}
	if errors.Is(err, topic.ErrNotApplied) {
		return err
	}
	// The append, or an earlier one without an answer, may have been carried out: what stands there now decides.
	records, readEnd, readErr := topic.ReadSnapshot(callCtx, e.Store, ownerTopic)
	if readErr != nil {
		return errors.Annotatef(err, "and reading back failed (%v)", readErr)
	}
	e.end = readEnd
	e.accept(records)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == o {
		return nil
	}
	return err
}

// renew keeps the record fresh until ctx ends or another owner is seen.
func (e *Elector) renew(ctx context.Context, o Owner, term *Term) {
	pause := renewEvery
	for wait.For(ctx, pause) {
		sent := bootTime()
		err := e.write(ctx, o)
		if err == nil {
			term.renewed.Store(sent)
			pause = renewEvery
			continue
		}
		if owner, ok := e.Current(); ok && owner.Fence != o.Fence {
			e.Log.Warn("replaced as the owner", "by", owner.Name, "fence", owner.Fence)
			return
		}
		if ctx.Err() == nil {
			e.Log.Warn("renewal failed", "age", term.Age(), "err", err)
		}
		pause = retryEvery
	}
}

// release lets another instance take over at once.
func (e *Elector) release(o Owner) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o.Released = true
	if err := e.write(ctx, o); err != nil {
		e.Log.Warn("could not release ownership; it expires", "err", err)
		return
	}
	e.set(o)
}
