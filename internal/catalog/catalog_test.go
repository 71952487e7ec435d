package catalog

import (
	"fmt"
	"testing"
)

// Guards routing: the longest prefix of the host wins, and hosts match without port and case.
func TestRoute(t *testing.T) {
	c := New(1, []*Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, nil, HTTPLimits{})
	for _, k := range []struct{ host, path, queue, suffix string }{
		{"a.example", "/x/1", "short", "1"},
		{"A.example:80", "/x/y/1", "long", "1"},
		{"b.example", "/x/y/1", "other", "y/1"},
		{"a.example", "/x", "", ""},
		{"c.example", "/x/1", "", ""},
	} {
		q, suffix := c.Route(k.host, k.path)
		name := ""
		if q != nil {
			name = q.Name
		}
		if name != k.queue || suffix != k.suffix {
			t.Errorf("%s%s: %q %q, want %q %q", k.host, k.path, name, suffix, k.queue, k.suffix)
		}
	}
}

// Many routes: with 1,400 queues on one host a request is routed by a few look-ups. The benchmark shows its time at two
// sizes.
func TestRouteAmongManyQueues(t *testing.T) {
	c := manyQueues(1400)
	for _, i := range []int{0, 7, 1399} {
		q, suffix := c.Route("a.example", fmt.Sprintf("/queue%d/zone/%d", i, i))
		if q == nil || q.Name != fmt.Sprint("q", i) || suffix != fmt.Sprint(i) {
			t.Errorf("queue %d: %+v, suffix %q", i, q, suffix)
		}
	}
	if q, _ := c.Route("a.example", "/queue1400/zone/1"); q != nil {
		t.Errorf("a path without a queue: %+v", q)
	}
	if n := len(c.byHost["a.example"].lengths); n > 4 {
		t.Errorf("%d look-ups for a path, want one for each of the 4 lengths of prefixes", n)
	}
}

func manyQueues(n int) *Catalog {
	var queues []*Queue
	for i := range n {
		queues = append(queues, &Queue{Name: fmt.Sprint("q", i), Host: "a.example", Prefix: fmt.Sprintf("/queue%d/zone/", i)})
	}
	return New(1, queues, nil, nil, HTTPLimits{})
}

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{14, 1400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := manyQueues(n)
			for b.Loop() {
				c.Route("a.example", "/queue13/zone/1")
			}
		})
	}
}

// Guards limits: usage is bounded in limited resources and unbounded in the others.
func TestLimitAllows(t *testing.T) {
	o := &Organisation{Limit: Resources{CPU: 1000}}
	for _, k := range []struct {
		usage Resources
		want  bool
	}{{Resources{CPU: 1000, MemoryMB: 1 << 40}, true}, {Resources{CPU: 1001}, false}} {
		if got := o.LimitAllows(k.usage); got != k.want {
			t.Errorf("%v: %v", k.usage, got)
		}
	}
}
