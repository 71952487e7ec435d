package catalog

import "testing"

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
