package catalog

import (
	"slices"
	"testing"
)

// Guards against unnoticed mistakes in a configuration: each one is found, with its place.
func TestFindings(t *testing.T) {
	queue := func() *Queue { return &Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"} }
	if valid := New(1, []*Queue{queue()}, []*Pool{{Name: "p"}}, []*Organisation{{Name: "o", Keys: []string{"k"}}}, HTTPLimits{}); valid.Findings != nil {
		t.Fatalf("findings in a valid configuration: %v", valid.Findings)
	}
	other := queue()
	other.Name, other.Host, other.Pool, other.Urgency, other.SlackFactor = "r", "H", "none", -1, -1
	third := queue()
	third.Host, third.Prefix = "i", "q"
	invalid := New(1, []*Queue{queue(), other, third, {Host: "n", Prefix: "/", Pool: "p"}}, []*Pool{{Name: "p"}, {Name: "p"}, {}}, []*Organisation{
		{Name: "o", Keys: []string{"k"}}, {Name: "o", Weight: -1}, {Keys: []string{"k"}, Limit: Resources{CPU: -1}},
	}, HTTPLimits{})
	var places []string
	for _, f := range invalid.Findings {
		places = append(places, f.Place)
	}
	want := []string{
		"/pools/p", "/pools/", "/queues/r/pool", "/queues/r/prefix", "/queues/r/urgency", "/queues/r/objective", "/queues/q/name",
		"/queues/q/prefix", "/queues//name", "/organisations/o/name", "/organisations/o/weight", "/organisations//name",
		"/organisations//limit", "/organisations//keys",
	}
	if !slices.Equal(places, want) {
		t.Errorf("findings at\n%q, want\n%q", places, want)
	}
}
