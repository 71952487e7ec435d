package advice

import "slices"

// Class orders requests for advice.
type Class int

// Classes of requests. Those of a later class are served while none of an earlier one waits.
const (
	// Immediate requests are of steps that a worker has room for.
	Immediate Class = iota
	// Ahead requests are of steps that wait for room; their tickets save a call once there is some.
	Ahead
	classes
)

// Queue holds the requests that wait for a call, by organisation. The one whose last call is the oldest goes first, so that a
// backlog of one delays a request of another by one call at most. Each placement round offers its requests anew: what
// waits is bounded by maxWaiting and not by the backlog. K identifies a request.
type Queue[K comparable] struct {
	waiting [classes]lanes[K]
	calls   int64
	// lastCall holds the number of the last call of each organisation, of the last rememberedCalls.
	lastCall map[string]int64
}

// rememberedCalls bounds what is kept of organisations. One whose last call is older goes first, like one without a call.
const rememberedCalls = 1024

// lanes holds the requests of a class. The organisations are in the order of their first request.
type lanes[K comparable] struct {
	organisations []string
	requests      map[string][]K
	occupied      map[string]int // by organisation
}

// maxWaiting bounds the waiting requests of an organisation in each class. Calls are made one at a time, and a round follows
// each answer.
var maxWaiting = [classes]int{Immediate: 16, Ahead: 4}

// Reset drops the waiting requests. Whose turn it is stays known.
func (q *Queue[K]) Reset() {
	for class := range q.waiting {
		l := &q.waiting[class]
		l.organisations = l.organisations[:0]
		clear(l.requests)
		clear(l.occupied)
	}
	for organisation, call := range q.lastCall {
		if q.calls-call >= rememberedCalls {
			delete(q.lastCall, organisation)
		}
	}
}

// Full reports whether an organisation may offer no further request of a class.
func (q *Queue[K]) Full(organisation string, class Class) bool {
	l := &q.waiting[class]
	return len(l.requests[organisation])+l.occupied[organisation] >= maxWaiting[class]
}

// Occupy takes the place of a request until the next Reset, for one that was served and whose answer has not been used.
func (q *Queue[K]) Occupy(organisation string, class Class) {
	l := &q.waiting[class]
	if l.occupied == nil {
		l.occupied = map[string]int{}
	}
	l.occupied[organisation]++
}

// Offer adds a request behind those of its organisation, unless it waits already or the organisation has too many.
func (q *Queue[K]) Offer(organisation string, class Class, key K) {
	l := &q.waiting[class]
	requests := l.requests[organisation]
	if q.Full(organisation, class) || slices.Contains(requests, key) {
		return
	}
	if l.requests == nil {
		l.requests = map[string][]K{}
	}
	if !slices.Contains(l.organisations, organisation) {
		l.organisations = append(l.organisations, organisation)
	}
	l.requests[organisation] = append(requests, key)
}

// Next removes and returns the next request, and whether there is one. Serve follows if a call is made for it.
func (q *Queue[K]) Next() (organisation string, key K, ok bool) {
	for class := range q.waiting {
		l := &q.waiting[class]
		best := -1
		for i, name := range l.organisations {
			if len(l.requests[name]) > 0 && (best < 0 || q.lastCall[name] < q.lastCall[l.organisations[best]]) {
				best = i
			}
		}
		if best < 0 {
			continue
		}
		organisation = l.organisations[best]
		requests := l.requests[organisation]
		l.requests[organisation] = requests[1:]
		return organisation, requests[0], true
	}
	return "", key, false
}

// Serve notes that a call is made for an organisation.
func (q *Queue[K]) Serve(organisation string) {
	if q.lastCall == nil {
		q.lastCall = map[string]int64{}
	}
	q.calls++
	q.lastCall[organisation] = q.calls
}

// Len returns the number of waiting requests.
func (q *Queue[K]) Len() (n int) {
	for class := range q.waiting {
		for _, requests := range q.waiting[class].requests {
			n += len(requests)
		}
	}
	return n
}
