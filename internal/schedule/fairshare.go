package schedule

// Claim is an organisation's demand for the capacity of a pool, in thousandths of a core.
type Claim struct {
	Organisation string
	// Weight is the organisation's share relative to the others; 0 counts as 1.
	Weight float64
	// Requested is the organisation's usage plus the needs of its pending tasks.
	Requested int64
}

// FairShares divides the capacity of a full pool by weighted max-min fairness: no organisation gets more than it
// requests, and capacity that one does not request goes to the others by weight. A peak of one organisation thus cannot
// displace the others from the pool.
func FairShares(capacity int64, claims []Claim) map[string]int64 {
	shares := make(map[string]int64, len(claims))
	unsatisfied := claims
	remaining := float64(max(capacity, 0))
	for len(unsatisfied) > 0 {
		totalWeight := 0.0
		for i := range unsatisfied {
			totalWeight += unsatisfied[i].weight()
		}
		var next []Claim
		granted := 0.0
		for _, c := range unsatisfied {
			if float64(c.Requested) <= remaining*c.weight()/totalWeight {
				shares[c.Organisation] = c.Requested
				granted += float64(c.Requested)
				continue
			}
			next = append(next, c)
		}
		if len(next) == len(unsatisfied) {
			for _, c := range unsatisfied {
				shares[c.Organisation] = int64(remaining * c.weight() / totalWeight)
			}
			return shares
		}
		unsatisfied, remaining = next, remaining-granted
	}
	return shares
}

func (c *Claim) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}
