package budget

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against organisations that together leave no room for another one: whatever some take, in any order, the next
// finds room for an ordinary amount.
func TestOrganisationsThatTakeAllLeaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		b.SetLimit(1 << 20)
		greedy := rapid.IntRange(1, 8).Draw(t, "greedy")
		for range 5_000 {
			name := fmt.Sprint(rapid.IntRange(1, greedy).Draw(t, "organisation"))
			if amount := rapid.Int64Range(1, 64<<10).Draw(t, "amount"); b.Fits(name, amount, 0) {
				b.Add(name, amount)
			}
		}
		if !b.Fits("ordinary", 1<<20>>(greedy+1), 0) {
			t.Errorf("%d of %d used by %d organisations: no room for another", b.Used(), b.Limit(), greedy)
		}
	})
}

// Guards against a budget that is not empty once everything was taken away.
func TestBudgetReturnsToZero(t *testing.T) {
	var b Budget
	b.SetLimit(10)
	b.Add("a", 3)
	b.Add("b", 20) // above the limit, as after a recovery
	if b.Fits("c", 1, 0) {
		t.Error("an amount fits above the limit")
	}
	b.Add("a", -3)
	b.Add("b", -20)
	if b.Used() != 0 || len(b.Held()) != 0 {
		t.Errorf("used %d, held %v", b.Used(), b.Held())
	}
}

// Guards against a reserve that others use.
func TestReservedUnitsStayFree(t *testing.T) {
	var b Budget
	b.SetLimit(100)
	for b.Fits("a", 1, 40) {
		b.Add("a", 1)
	}
	if b.Used() != 30 || !b.Fits("b", 30, 0) || b.Fits("b", 30, 40) {
		t.Errorf("%d units used beside a reserve of 40, want 30", b.Used())
	}
}
