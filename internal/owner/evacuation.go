package owner

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/pollenford/pollenford/internal/directory"
)

// Evacuations is what a process knows of the zones that operators have evacuated, and how current that is. All followers
// of the operators' topic in the process share it, so that a new owner begins with what its process knows. It is safe for
// concurrent use. Times are on the boot-time clock, which counts suspension.
type Evacuations struct {
	// bound is how long after the store has acknowledged the evacuation of a zone a start may still be sent there. Without
	// one (0) a request takes effect as soon as it is read, and work goes on while the topic cannot be read.
	bound time.Duration
	log   hclog.Logger
	// count is the number of evacuated zones: a placement round asks for each worker, and there usually is none.
	count atomic.Int64

	mu sync.Mutex
	// requests holds the newest request of each zone, also a removal: an older record may be delivered after it. Protected
	// by mu, as are the fields below.
	requests map[string]evacuationRequest
	snapshot int64         // end of the newest snapshot, which decides about all records before
	next     int64         // offset after the last record that was read
	asOf     time.Duration // every record acknowledged before then was read; 0 until a snapshot was
}

type evacuationRequest struct {
	offset  int64
	removed bool
}

// NewEvacuations returns the state of a process that has not read the operators' topic.
func NewEvacuations(bound time.Duration, log hclog.Logger) *Evacuations {
	return &Evacuations{bound: bound, log: log, requests: map[string]evacuationRequest{}}
}

// Known reports whether a snapshot of the operators' topic was read, which a deployment without a bound does not need.
func (e *Evacuations) Known() bool {
	if e.bound == 0 {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asOf != 0
}

// evacuated reports whether a zone is evacuated by what is known.
func (e *Evacuations) evacuated(zone string) bool {
	if e.count.Load() == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	request, ok := e.requests[zone]
	return ok && !request.removed
}

// zones returns the evacuated zones in order.
func (e *Evacuations) zones() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var zones []string
	for zone, request := range e.requests {
		if !request.removed {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Shares of the bound. A read without news waits pollShare for it, so what is known is at most that old while the store
// answers. Reads without a wait begin at confirmShare. Nothing is started from outdatedShare on; the rest is for the
// request on its way to the worker.
const (
	pollShare     = 0.4
	confirmShare  = 0.6
	outdatedShare = 0.8
)

func (e *Evacuations) share(share float64) time.Duration {
	return time.Duration(share * float64(e.bound))
}

// pollTimeout returns how long a read of the operators' topic may wait for a record.
func (e *Evacuations) pollTimeout() time.Duration {
	if e.bound == 0 {
		return operatorPollTimeout
	}
	return min(operatorPollTimeout, e.share(pollShare))
}

// olderThan reports whether what is known is older than a share of the bound.
func (e *Evacuations) olderThan(share float64, now time.Duration) bool {
	if e.bound == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.asOf == 0 || now-e.asOf > e.share(share)
}

// outdated reports whether an evacuation may be in force without being known, so that nothing may be started.
func (e *Evacuations) outdated(now time.Duration) bool { return e.olderThan(outdatedShare, now) }

// mayStart reports whether a start may be sent to a worker in a zone.
func (e *Evacuations) mayStart(zone string, now time.Duration) bool {
	return !e.outdated(now) && !e.evacuated(zone)
}

func (e *Evacuations) nextOffset() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.next
}

// operatorRecords is what a call to the store says of evacuations.
type operatorRecords struct {
	requests map[string]evacuationRequest
	// unreadableKeys reports whether the key of a record could not be read, which may be that of a request.
	unreadableKeys bool
	// end is the offset after the last record that was read, and asOf the time up to which every acknowledged record was; 0
	// if some are left to read.
	end  int64
	asOf time.Duration
}

// add adds a decoded record.
func (r *operatorRecords) add(request *directory.Evacuation, offset int64) {
	if r.requests == nil {
		r.requests = map[string]evacuationRequest{}
	}
	r.requests[request.Zone] = evacuationRequest{offset, request.Removed}
}

// append takes over records that were read after others. The newest request of each zone wins.
func (e *Evacuations) append(read operatorRecords) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for zone, request := range read.requests {
		if known, ok := e.requests[zone]; request.offset >= e.snapshot && (!ok || request.offset > known.offset) {
			e.set(zone, request)
		}
	}
	e.advance(read)
}

// replace takes over a snapshot, in which a missing key means that the request was removed. Requests newer than the
// snapshot stay. So do all known ones if the key of a record could not be read.
func (e *Evacuations) replace(snapshot operatorRecords) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if snapshot.end < e.snapshot {
		return // another follower has read a newer one
	}
	e.snapshot = snapshot.end
	for zone, known := range e.requests {
		if _, listed := snapshot.requests[zone]; !listed && known.offset < snapshot.end && !snapshot.unreadableKeys {
			e.set(zone, evacuationRequest{known.offset, true})
			delete(e.requests, zone)
		}
	}
	for zone, request := range snapshot.requests {
		if known, ok := e.requests[zone]; !ok || request.offset > known.offset || known.offset < snapshot.end {
			e.set(zone, request)
		}
	}
	e.advance(snapshot)
}

func (e *Evacuations) advance(read operatorRecords) {
	e.next, e.asOf = max(e.next, read.end), max(e.asOf, read.asOf)
}

// set replaces the newest request of a zone and logs a change. The caller holds mu.
func (e *Evacuations) set(zone string, request evacuationRequest) {
	known, ok := e.requests[zone]
	wasEvacuated := ok && !known.removed
	e.requests[zone] = request
	switch {
	case !wasEvacuated && !request.removed:
		e.count.Add(1)
		e.log.Info("zone evacuated: nothing more is started there", "zone", strings.ToValidUTF8(zone, "?"), "offset", request.offset)
	case wasEvacuated && request.removed:
		e.count.Add(-1)
		e.log.Info("zone restored", "zone", strings.ToValidUTF8(zone, "?"))
	}
}
