package schedule

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// Guards the shares of hand-calculated examples.
func TestFairShares(t *testing.T) {
	for name, c := range map[string]struct {
		claims []Claim
		want   map[string]int64
	}{
		"sufficient capacity": {[]Claim{{"a", 1, 40}, {"b", 3, 60}}, map[string]int64{"a": 40, "b": 60}},
		"by weight":           {[]Claim{{"a", 1, 500}, {"b", 3, 500}}, map[string]int64{"a": 25, "b": 75}},
		"surplus by weight":   {[]Claim{{"a", 2, 10}, {"b", 1, 500}, {"c", 2, 500}}, map[string]int64{"a": 10, "b": 30, "c": 60}},
		"default weight":      {[]Claim{{"a", 0, 500}, {"b", 1, 500}}, map[string]int64{"a": 50, "b": 50}},
		"nobody":              {nil, map[string]int64{}},
	} {
		if got := FairShares(100, c.claims); !maps.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards max-min fairness for any claims: the capacity is not exceeded nor, except for rounding, left unused while a
// claim is unsatisfied; no share exceeds its claim; and no unsatisfied claim has less than another's weighted share.
func TestFairSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 100_000).Draw(t, "capacity")
		var claims []Claim
		requested := int64(0)
		for i := range rapid.IntRange(1, 8).Draw(t, "organisations") {
			c := Claim{fmt.Sprint("org-", i), rapid.Float64Range(0.5, 8).Draw(t, "weight"), rapid.Int64Range(0, 50_000).Draw(t, "asked")}
			claims = append(claims, c)
			requested += c.Requested
		}
		shares := FairShares(capacity, claims)
		total := int64(0)
		for _, c := range claims {
			share := shares[c.Organisation]
			total += share
			if share > c.Requested {
				t.Fatalf("%s gets %d but requested %d", c.Organisation, share, c.Requested)
			}
			if share >= c.Requested {
				continue
			}
			for _, other := range claims {
				if float64(shares[other.Organisation])/other.Weight > float64(share+1)/c.Weight+1e-6 {
					t.Fatalf("%s has %d at weight %v, %s %d at weight %v",
						other.Organisation, shares[other.Organisation], other.Weight, c.Organisation, share, c.Weight)
				}
			}
		}
		if want := min(capacity, requested); total > want || total < want-int64(len(claims)) {
			t.Fatalf("%d of %d distributed", total, want)
		}
	})
}
