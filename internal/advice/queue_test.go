package advice

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// serve makes up to n calls and returns the requests in their order.
func (q *Queue[K]) serve(n int) (keys []K) {
	for range n {
		organisation, key, ok := q.Next()
		if !ok {
			return keys
		}
		q.Serve(organisation)
		keys = append(keys, key)
	}
	return keys
}

// Guards the order of calls.
func TestQueueOrder(t *testing.T) {
	for name, c := range map[string]struct {
		offer func(q *Queue[string])
		want  []string
	}{
		"organisations take turns": {func(q *Queue[string]) {
			for _, key := range []string{"a1", "a2", "a3", "b1", "c1", "b2"} {
				q.Offer(key[:1], Immediate, key)
			}
		}, []string{"a1", "b1", "c1", "a2", "b2", "a3"}},
		"requests ahead come last": {func(q *Queue[string]) {
			q.Offer("a", Ahead, "a1")
			q.Offer("b", Immediate, "b1")
			q.Offer("b", Immediate, "b2")
		}, []string{"b1", "b2", "a1"}},
		"an organisation that was served waits for the others": {func(q *Queue[string]) {
			q.Offer("a", Immediate, "a1")
			q.serve(1)
			q.Reset()
			q.Offer("a", Immediate, "a2")
			q.Offer("b", Immediate, "b1")
		}, []string{"b1", "a2"}},
		"time without requests earns no turns": {func(q *Queue[string]) {
			for i := range 5 {
				q.Offer("a", Immediate, fmt.Sprint("a", i))
			}
			q.serve(5)
			q.Reset()
			for _, key := range []string{"b1", "b2", "b3", "a6", "a7"} {
				q.Offer(key[:1], Immediate, key)
			}
		}, []string{"b1", "a6", "b2", "a7", "b3"}},
		"answers that were not used count": {func(q *Queue[string]) {
			for range maxWaiting[Ahead] - 1 {
				q.Occupy("a", Ahead)
			}
			q.Offer("a", Ahead, "a1")
			q.Offer("a", Ahead, "a2")
			q.Offer("b", Ahead, "b1")
		}, []string{"a1", "b1"}},
		"a request waits once": {func(q *Queue[string]) {
			q.Offer("a", Immediate, "a1")
			q.Offer("a", Immediate, "a1")
		}, []string{"a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var q Queue[string]
			c.offer(&q)
			if got := q.serve(10); !slices.Equal(got, c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a backlog that delays other organisations, or that is kept: in any sequence of rounds an organisation that
// offers a request is served before any other one has had two calls, and what is kept is bounded.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		key := 0
		since := map[string]map[string]int{} // calls of each organisation since another one began to wait
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			q.Reset()
			offers := map[string]int{}
			for i := range 4 {
				offers[fmt.Sprint("org-", i)] = rapid.SampledFrom([]int{0, 0, 1, 3, 3000}).Draw(t, "offers")
			}
			for name, n := range offers {
				for range n {
					key++
					q.Offer(name, Immediate, key)
				}
				if n == 0 {
					delete(since, name)
				} else if since[name] == nil {
					since[name] = map[string]int{}
				}
			}
			if most := len(offers) * maxWaiting[Immediate]; q.Len() > most {
				t.Fatalf("%d requests wait, want at most %d", q.Len(), most)
			}
			organisation, _, ok := q.Next()
			if !ok {
				continue
			}
			q.Serve(organisation)
			delete(since, organisation)
			for waiting, calls := range since {
				if calls[organisation]++; calls[organisation] > 1 {
					t.Fatalf("%s had %d calls while %s waited", organisation, calls[organisation], waiting)
				}
			}
		}
	})
}

// Guards against memory for organisations that have no requests any more.
func TestQueueForgetsOrganisations(t *testing.T) {
	var q Queue[int]
	for i := range 5 * rememberedCalls {
		q.Reset()
		q.Offer(fmt.Sprint("org-", i), Immediate, i)
		q.serve(1)
	}
	if n := len(q.lastCall); n > rememberedCalls+1 {
		t.Errorf("%d organisations are kept, want at most %d", n, rememberedCalls+1)
	}
}
