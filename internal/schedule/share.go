package schedule

// Claim is what an organisation has and wants of a pool, in thousandths of a core.
type Claim struct {
	Organisation string
	// Weight is the organisation's share relative to the others; 0 counts as 1.
	Weight float64
	// Requested is what it has and what it waits for.
	Requested int64
}

// FairShares divides the capacity of a full pool: weighted max-min, so nobody gets more than it asks for, and what one does
// not ask for goes to the others by their weights. It answers a peak of one organisation that would push the others out
// of the pool.
func FairShares(capacity int64, claims []Claim) map[string]int64 {
	shares := make(map[string]int64, len(claims))
	open := claims
	rest := float64(max(capacity, 0))
	for len(open) > 0 {
		weights := 0.0
		for i := range open {
			weights += open[i].weight()
		}
		var left []Claim
		used := 0.0
		for _, c := range open {
			if float64(c.Requested) <= rest*c.weight()/weights {
				shares[c.Organisation] = c.Requested
				used += float64(c.Requested)
				continue
			}
			left = append(left, c)
		}
		if len(left) == len(open) {
			for _, c := range open {
				shares[c.Organisation] = int64(rest * c.weight() / weights)
			}
			return shares
		}
		open, rest = left, rest-used
	}
	return shares
}

func (c *Claim) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}
