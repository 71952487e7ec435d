package owner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/pollenford/pollenford/internal/leader"
	"github.com/pollenford/pollenford/internal/topic"
	"github.com/pollenford/pollenford/internal/wait"
)

// recoveryLimits are the time limits of a recovery. They grow with what was read: how much there is to read is unknown.
type recoveryLimits struct {
	// bytesPerSecond is what the thinnest link of a machine carries of records, slowCall how long a slow store works on a
	// call, and pageBytes the size of the largest page.
	bytesPerSecond int
	slowCall       time.Duration
	pageBytes      int
	// patient bounds an attempt of a call; shorter attempts, bounded by probe, begin beside it once probe has passed.
	patient, probe time.Duration
	// maxLag is how far a recovery may fall behind one with the thinnest link and a slow store.
	maxLag time.Duration
}

var defaultRecoveryLimits = recoveryLimits{
	bytesPerSecond: linkBytesPerSecond, slowCall: slowStoreCall, pageBytes: 1 << 20,
	patient: 3 * time.Second, // for a page with half of the link
	probe:   storeTimeout,
	maxLag:  4 * time.Second,
}

const (
	// linkBytesPerSecond is what a link of 10 Mbit/s, the thinnest of a machine, carries of records in base64.
	linkBytesPerSecond = 900_000
	// slowStoreCall is how long a slow store works on a call.
	slowStoreCall = 500 * time.Millisecond
	// recoveryLogInterval is the time between log lines on the progress.
	recoveryLogInterval = time.Second
	// maxPatience is how often the limits are doubled at most.
	maxPatience = 10
)

// doubled returns the limits of a term after the instance has yielded n in a row: no other instance was faster.
func (l recoveryLimits) doubled(n int) recoveryLimits {
	n = min(n, maxPatience)
	l.patient, l.probe, l.maxLag = l.patient<<n, l.probe<<n, l.maxLag<<n
	return l
}

// callTime returns how long a call for records of the given size takes with the thinnest link and a slow store.
func (l recoveryLimits) callTime(bytes int) time.Duration {
	return l.slowCall + transferTime(bytes, l.bytesPerSecond)
}

func transferTime(bytes, bytesPerSecond int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(bytesPerSecond)
}

// recovery is the progress of Recover.
type recovery struct {
	o        *Owner
	limits   recoveryLimits
	began    time.Time
	logged   time.Time
	snapshot topic.PagedSnapshot
	// lag is how far the calls so far fell behind the thinnest link and a slow store.
	lag time.Duration
	// lastCall is how long the last call took that succeeded.
	lastCall time.Duration
}

// Recover fences earlier owners and loads the state that they recorded. It returns leader.ErrYield if another instance
// may be faster.
func (o *Owner) Recover() error {
	now := time.Now()
	r := &recovery{o: o, limits: o.recoveryLimits.doubled(o.term.Yields), began: now, logged: now}
	o.lastTurn = leader.BootTime()
	if err := r.fence(); err != nil {
		return err
	}
	if err := r.readPages(); err != nil {
		return err
	}
	o.recoveredAt = time.Now()
	o.lastTurn = leader.BootTime()
	o.adoptRecords()
	o.metrics.recovery.RecordDuration(time.Since(r.began))
	r.log(hclog.Info, "owner recovered", "active_jobs", len(o.active), "job_bytes", o.accounts.accepted.Used())
	return nil
}

// fence raises the producer's epoch, after which the store rejects the appends of earlier owners.
func (r *recovery) fence() error {
	_, err := r.call("fence earlier owners", func(ctx context.Context) (topic.Page, error) {
		_, _, err := r.o.cfg.Store.Append(ctx, jobsTopic, topic.Batch{Producer: r.o.producer()})
		return topic.Page{}, err
	})
	return err
}

// readPages reads the records. No earlier owner can append after the fence, so pages stay valid for the term.
func (r *recovery) readPages() error {
	for !r.snapshot.Complete() {
		page, err := r.call("read jobs", r.snapshot.ReadNext(r.o.cfg.Store, jobsTopic))
		if err != nil {
			return err
		}
		r.snapshot.Add(page)
		r.o.loadRecords(page.Records)
		r.reportProgress(page)
	}
	return nil
}

func (r *recovery) reportProgress(page topic.Page) {
	r.o.metrics.recoveryPages.Inc(1)
	r.o.metrics.recoveryBytes.Inc(int64(page.Bytes()))
	r.o.metrics.recoveryRecords.Update(float64(r.snapshot.Records))
	if time.Since(r.logged) >= recoveryLogInterval {
		r.logged = time.Now()
		r.log(hclog.Info, "owner recovering")
	}
}

func (r *recovery) log(level hclog.Level, message string, args ...any) {
	r.o.log.Log(level, message, append(args, "records", r.snapshot.Records, "pages", r.snapshot.Pages,
		"bytes", r.snapshot.Bytes, "lag_ms", r.lag.Milliseconds(), "ms", time.Since(r.began).Milliseconds())...)
}

// call repeats a store call until it succeeds. It returns errReplaced if a newer owner has fenced this one,
// leader.ErrYield if the recovery lags too much, and the cause if the term ends. Time in which the owner cannot renew its
// record does not count: the record expires if the store answers others.
func (r *recovery) call(operation string, call func(context.Context) (topic.Page, error)) (topic.Page, error) {
	ctx, stop := context.WithCancel(r.o.ctx)
	defer stop()
	results := r.attempt(ctx, call)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var spent time.Duration
	for last := time.Now(); ; {
		select {
		case result := <-results:
			r.o.noticePause()
			switch {
			case result.err == nil:
				spent += time.Since(last)
				r.lastCall = spent
				r.lag = max(0, r.lag+spent-r.limits.callTime(result.page.Bytes()))
				return result.page, nil
			case errors.Is(result.err, topic.ErrFenced):
				return topic.Page{}, errReplaced
			}
			r.o.log.Warn("store call failed", "call", operation, "err", result.err)
		case <-tick.C:
			r.o.noticePause()
			now := time.Now()
			if !r.o.term.RenewalFailing() {
				spent += now.Sub(last)
			}
			last = now
			if lag := r.lag + spent - r.limits.callTime(r.limits.pageBytes); lag > r.limits.maxLag {
				r.lag = lag
				return topic.Page{}, r.yield(operation)
			}
		case <-ctx.Done():
			return topic.Page{}, context.Cause(r.o.ctx)
		}
	}
}

func (r *recovery) yield(operation string) error {
	r.o.metrics.recoveriesYielded.Inc(1)
	r.log(hclog.Warn, "recovery too slow: term yielded", "call", operation, "yielded_before", r.o.term.Yields)
	return errors.Annotatef(leader.ErrYield, "%s", operation)
}

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	page topic.Page
	err  error
}

// attempt repeats a call until one attempt succeeds or ctx ends. A thin link needs a patient attempt, but a store that
// is back after an outage answers only attempts that began since, so short ones follow each other beside the patient one.
func (r *recovery) attempt(ctx context.Context, call func(context.Context) (topic.Page, error)) <-chan attemptResult {
	results := make(chan attemptResult)
	repeat := func(pause, limit time.Duration) {
		for wait.For(ctx, pause) {
			callCtx, stop := context.WithTimeout(ctx, limit)
			page, err := call(callCtx)
			stop()
			select {
			case results <- attemptResult{page, err}:
			case <-ctx.Done():
			}
			if err == nil {
				return
			}
			pause = storeRetryDelay
		}
	}
	// The next page of a slow link is as slow: an attempt beside it would only take a share of the link.
	probe := max(r.limits.probe, 2*r.lastCall)
	go repeat(0, r.limits.patient)
	go repeat(probe, probe)
	return results
}
