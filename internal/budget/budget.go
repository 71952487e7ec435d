// Package budget shares a bounded amount, such as memory, among organisations. It does no I/O and reads no clock.
package budget

// Budget is an amount that organisations share. Each may hold at most as much as it leaves free: a single one gets half, and
// whatever some of them take, another one still finds room. The zero value has no room.
type Budget struct {
	limit, used int64
	held        map[string]int64 // by organisation
}

// SetLimit changes the limit. What is held stays, also above the limit.
func (b *Budget) SetLimit(limit int64) { b.limit = limit }

// Limit returns the limit.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns what all organisations hold.
func (b *Budget) Used() int64 { return b.used }

// Held returns what each organisation holds. The caller must not change it.
func (b *Budget) Held() map[string]int64 { return b.held }

// Fits reports whether an organisation may hold a further amount, if reserved units are kept free for others.
func (b *Budget) Fits(organisation string, amount, reserved int64) bool {
	return b.held[organisation]+amount <= b.limit-reserved-b.used-amount
}

// Room returns the largest amount that fits, at least 0.
func (b *Budget) Room(organisation string) int64 {
	return max(0, (b.limit-b.used-b.held[organisation])/2)
}

// Add adds an amount to what an organisation holds, or takes a negative one away, whether or not it fits.
func (b *Budget) Add(organisation string, amount int64) {
	if amount == 0 {
		return
	}
	if b.held == nil {
		b.held = map[string]int64{}
	}
	b.used += amount
	if b.held[organisation] += amount; b.held[organisation] == 0 {
		delete(b.held, organisation)
	}
}
